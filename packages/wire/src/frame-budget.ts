/**
 * Bounds the bytes of incomplete frames that a process holds for all its channels together. Each
 * frame may be large, but peers that never complete theirs must not exhaust the process, so the
 * channel that holds most is closed once the total is exceeded.
 */
export interface FrameBudget {
  /** `onExceeded` is called once if the channel holds most while the total is exceeded. */
  open(onExceeded: () => void): FrameAccount;
}

export interface FrameAccount {
  update(heldBytes: number): void;
  close(): void;
}

interface HeldFrame {
  heldBytes: number;
  readonly onExceeded: () => void;
}

export function createFrameBudget(maximumBytes: number): FrameBudget {
  const frames = new Set<HeldFrame>();
  let totalBytes = 0;

  function remove(frame: HeldFrame): void {
    if (frames.delete(frame)) totalBytes -= frame.heldBytes;
  }

  function closeLargest(): void {
    let largest: HeldFrame | undefined;
    for (const frame of frames) {
      if (largest === undefined || frame.heldBytes > largest.heldBytes) largest = frame;
    }
    if (largest === undefined) return;
    remove(largest);
    largest.onExceeded();
  }

  return {
    open(onExceeded) {
      const frame: HeldFrame = { heldBytes: 0, onExceeded };
      frames.add(frame);
      return {
        update(heldBytes) {
          if (!frames.has(frame)) return;
          totalBytes += heldBytes - frame.heldBytes;
          frame.heldBytes = heldBytes;
          // A single frame may be as large as the protocol allows.
          if (totalBytes > maximumBytes && totalBytes > frame.heldBytes) closeLargest();
        },
        close: () => remove(frame),
      };
    },
  };
}
