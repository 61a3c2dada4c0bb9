/**
 * Decides what to do with a piece of answer text, by its offset. Pieces of an earlier
 * attempt can arrive late or twice; appending them blindly would repeat text, and skipping
 * ahead would lose some.
 */
export enum AppendKind {
  Append = 'append',
  Duplicate = 'duplicate',
  Gap = 'gap',
}

export type Append =
  | { readonly kind: AppendKind.Append; readonly text: string }
  | { readonly kind: AppendKind.Duplicate }
  | { readonly kind: AppendKind.Gap; readonly missingCharacters: number };

/** `expectedOffset` counts the UTF-16 code units that were already passed on. */
export function planAppend(expectedOffset: number, offset: number, text: string): Append {
  if (offset > expectedOffset) {
    return { kind: AppendKind.Gap, missingCharacters: offset - expectedOffset };
  }
  const known = expectedOffset - offset;
  if (known >= text.length) return { kind: AppendKind.Duplicate };
  return { kind: AppendKind.Append, text: text.slice(known) };
}
