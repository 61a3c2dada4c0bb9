/**
 * Waits for a batch of answers, but not for stragglers: under a hold every stream of a group waits
 * for the slowest rank, and an unanswered order can be sent again long before its call times out.
 */

/** Longest wait for the first answer of a batch, and then from one answer to the next. */
const FIRST_ANSWER_TIMEOUT_MILLISECONDS = 100;
const NEXT_ANSWER_TIMEOUT_MILLISECONDS = 30;

/**
 * Resolves with one answer per call, in the order of the calls; `fallback` stands for answers that
 * did not arrive in time. Rejects when a call rejects.
 */
export function settleWithoutStragglers<Answer>(
  calls: readonly Promise<Answer>[],
  fallback: Answer,
): Promise<readonly Answer[]> {
  return new Promise((resolve, reject) => {
    const answers = calls.map(() => fallback);
    let pendingCount = calls.length;
    let timer: NodeJS.Timeout | undefined;

    function finish(): void {
      clearTimeout(timer);
      resolve(answers);
    }

    function restartTimer(milliseconds: number): void {
      clearTimeout(timer);
      const before = pendingCount;
      timer = setTimeout(() => {
        // After this process was suspended, answers that have already arrived must be read first.
        setImmediate(() => {
          if (pendingCount === before) finish();
        });
      }, milliseconds);
    }

    function onAnswer(index: number, answer: Answer): void {
      answers[index] = answer;
      pendingCount -= 1;
      if (pendingCount === 0) finish();
      else restartTimer(NEXT_ANSWER_TIMEOUT_MILLISECONDS);
    }

    if (pendingCount === 0) {
      finish();
      return;
    }
    restartTimer(FIRST_ANSWER_TIMEOUT_MILLISECONDS);
    for (const [index, call] of calls.entries()) {
      call.then((answer) => onAnswer(index, answer), reject);
    }
  });
}
