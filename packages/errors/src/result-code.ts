/**
 * The numbered result codes. Numbers are stable: a code is never reused. The table in
 * docs/RESULT-CODES.md is compared with this one by a test.
 */
export enum ResultCode {
  Accepted = 0,
  BadRequest = 1000,
  MalformedJson = 1001,
  BodyTooLarge = 1002,
  UnknownAccount = 1003,
  WrongEnvironment = 1004,
  UnknownModel = 1005,
  UnknownOperation = 1006,
  MissingIdempotencyKey = 1007,
  IdempotencyKeyReused = 1008,
  UnknownRequest = 1009,
  InvalidTimeout = 1010,
  MethodNotAllowed = 1011,
  Overloaded = 2000,
  AccountLimited = 2001,
  DeadlineTooShort = 2002,
  NoBackendServer = 2003,
  Draining = 2004,
  RetryBudgetSpent = 2006,
  NotReady = 2007,
  EngineFailed = 3000,
  AnswerLost = 3001,
  TimedOut = 3002,
  OutcomeUnknown = 3003,
  StillRunning = 3004,
  Cancelled = 3006,
  StoreUnavailable = 4000,
  DocumentInvalid = 5000,
  VersionConflict = 5001,
  ChangeUnknown = 5002,
  OperatorUnknown = 5003,
  UnknownTarget = 5004,
  CapacityShort = 5006,
  UnknownChange = 5007,
  SettingsInvalid = 6000,
  ConnectionFailed = 6001,
  LogsUnreadable = 6002,
  LeaseLost = 7000,
  StaleFencingNumber = 7001,
  PrepareFailed = 7002,
}

/** What a caller or a shell is told for one code. */
export interface ResultCodeEntry {
  readonly title: string;
  readonly httpStatus: number;
  /** Exit status of the command line, 0 to 125. */
  readonly exitStatus: number;
  readonly nextStep: string;
}

function entry(
  title: string,
  httpStatus: number,
  exitStatus: number,
  nextStep: string,
): ResultCodeEntry {
  return { title, httpStatus, exitStatus, nextStep };
}

export const RESULT_CODES: Readonly<Record<ResultCode, ResultCodeEntry>> = {
  [ResultCode.Accepted]: entry('Accepted', 200, 0, 'Nothing to do.'),
  [ResultCode.BadRequest]: entry('Bad request', 400, 10, 'Correct the field that is named.'),
  [ResultCode.MalformedJson]: entry('Malformed JSON', 400, 11, 'Send a valid JSON body.'),
  [ResultCode.BodyTooLarge]: entry('Body too large', 413, 12, 'Send a smaller body.'),
  [ResultCode.UnknownAccount]: entry(
    'Unknown client account',
    401,
    13,
    'Send the account key as a bearer token.',
  ),
  [ResultCode.WrongEnvironment]: entry(
    'Account of another environment',
    403,
    14,
    'Use an entry of the account’s own environment.',
  ),
  [ResultCode.UnknownModel]: entry('Unknown model', 404, 15, 'Use a model of the document.'),
  [ResultCode.UnknownOperation]: entry(
    'Unknown operation',
    404,
    16,
    'Use a path that the documentation lists.',
  ),
  [ResultCode.MissingIdempotencyKey]: entry(
    'Idempotency-Key missing',
    400,
    17,
    'Send an Idempotency-Key header.',
  ),
  [ResultCode.IdempotencyKeyReused]: entry(
    'Idempotency-Key used with another body',
    422,
    18,
    'Use a new key for a new call.',
  ),
  [ResultCode.UnknownRequest]: entry('Unknown request', 404, 19, 'Check the request id.'),
  [ResultCode.InvalidTimeout]: entry(
    'Invalid timeout',
    400,
    20,
    'Send a whole number of milliseconds within the limit.',
  ),
  [ResultCode.MethodNotAllowed]: entry('Method not allowed', 405, 21, 'Use the method named.'),
  [ResultCode.Overloaded]: entry('Overloaded', 503, 30, 'Repeat after Retry-After.'),
  [ResultCode.AccountLimited]: entry('Account limit reached', 429, 31, 'Repeat after Retry-After.'),
  [ResultCode.DeadlineTooShort]: entry(
    'Deadline cannot be met',
    503,
    32,
    'Repeat after Retry-After or allow more time.',
  ),
  [ResultCode.NoBackendServer]: entry('No backend server', 503, 33, 'Repeat after Retry-After.'),
  [ResultCode.Draining]: entry('Draining', 503, 34, 'Repeat after Retry-After.'),
  [ResultCode.RetryBudgetSpent]: entry('Retry budget spent', 503, 35, 'Repeat after Retry-After.'),
  [ResultCode.NotReady]: entry('Not ready', 503, 36, 'Repeat after Retry-After.'),
  [ResultCode.EngineFailed]: entry('Backend server failed', 502, 40, 'Repeat the request.'),
  [ResultCode.AnswerLost]: entry(
    'Answer can no longer be resumed',
    410,
    41,
    'Send the request again without Last-Event-ID.',
  ),
  [ResultCode.TimedOut]: entry('Timed out', 504, 42, 'Repeat with more time.'),
  [ResultCode.OutcomeUnknown]: entry(
    'Outcome unknown',
    503,
    43,
    'Ask GET /v1/requests/<key>, or repeat with the same key.',
  ),
  [ResultCode.StillRunning]: entry(
    'Still running',
    409,
    44,
    'Ask GET /v1/requests/<key> after Retry-After.',
  ),
  [ResultCode.Cancelled]: entry('Cancelled by the caller', 499, 45, 'Nothing to do.'),
  [ResultCode.StoreUnavailable]: entry(
    'Platform store unavailable',
    503,
    50,
    'Repeat after Retry-After.',
  ),
  [ResultCode.DocumentInvalid]: entry(
    'Document invalid',
    422,
    60,
    'Correct the paths that are listed.',
  ),
  [ResultCode.VersionConflict]: entry(
    'Version conflict',
    409,
    61,
    'Look at the newer version, then apply with its number.',
  ),
  [ResultCode.ChangeUnknown]: entry(
    'Change not confirmed',
    503,
    62,
    'Ask `lapisbridge change show ID` until it is known.',
  ),
  [ResultCode.OperatorUnknown]: entry('Unknown operator', 401, 63, 'Send the operator token.'),
  [ResultCode.UnknownTarget]: entry('Unknown target', 404, 64, 'Use a name that `status` lists.'),
  [ResultCode.CapacityShort]: entry(
    'The rest could not carry it',
    409,
    65,
    'Add capacity, or repeat with --force.',
  ),
  [ResultCode.UnknownChange]: entry('Unknown change', 404, 66, 'Check the change id.'),
  [ResultCode.SettingsInvalid]: entry(
    'Settings invalid',
    500,
    70,
    'Correct the paths that are listed.',
  ),
  [ResultCode.ConnectionFailed]: entry(
    'No answer from the entry',
    502,
    71,
    'Check --operator and the network.',
  ),
  [ResultCode.LogsUnreadable]: entry(
    'Logs unreadable',
    500,
    72,
    'Name files that hold the JSON lines of processes.',
  ),
  [ResultCode.LeaseLost]: entry('Lease lost', 409, 80, 'Nothing: another instance went on.'),
  [ResultCode.StaleFencingNumber]: entry(
    'Stale fencing number',
    409,
    81,
    'Nothing: a newer order stands.',
  ),
  [ResultCode.PrepareFailed]: entry(
    'A rank did not prepare',
    409,
    82,
    'Nothing: the old map runs on.',
  ),
};
