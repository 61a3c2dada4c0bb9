/**
 * Waits for a batch of answers, and no longer for those that are far later than the others: under a
 * hold every stream of a group waits for the last of its ranks, and an order that got no answer can
 * be given again long before its call times out.
 */

/** Longest wait for the first answer of a batch, and from one answer to the next. */
const FIRST_ANSWER_MILLISECONDS = 100;
const NEXT_ANSWER_MILLISECONDS = 30;

/** Resolves with an answer for each call, in their order; `missing` stands for those that are late. */
export function settleMost<Answer>(
  calls: readonly Promise<Answer>[],
  missing: Answer,
): Promise<readonly Answer[]> {
  return new Promise((resolve, reject) => {
    const answers = calls.map(() => missing);
    let waiting = calls.length;
    let timer: NodeJS.Timeout | undefined;

    function finish(): void {
      clearTimeout(timer);
      resolve(answers);
    }

    function waitFor(milliseconds: number): void {
      clearTimeout(timer);
      const before = waiting;
      timer = setTimeout(() => {
        // A process that stood still has answers to read first.
        setImmediate(() => {
          if (waiting === before) finish();
        });
      }, milliseconds);
    }

    function take(index: number, answer: Answer): void {
      answers[index] = answer;
      waiting -= 1;
      if (waiting === 0) finish();
      else waitFor(NEXT_ANSWER_MILLISECONDS);
    }

    if (waiting === 0) {
      finish();
      return;
    }
    waitFor(FIRST_ANSWER_MILLISECONDS);
    for (const [index, call] of calls.entries()) {
      call.then((answer) => take(index, answer), reject);
    }
  });
}
