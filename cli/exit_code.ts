/** Exit codes of the command-line tool. */
export enum ExitCode {
  Done = 0,
  /** A daemon could not be reached or lacks the newest version, or none has events of the call. */
  Failed = 1,
  /** The command line is invalid, or a document has findings. */
  Findings = 2,
}
