/** How the command-line tool ends. */
export enum ExitCode {
  Done = 0,
  /** A daemon could not be reached, or not every daemon has the version. */
  Failed = 1,
  /** The words of the command or a document have findings. */
  Findings = 2,
}
