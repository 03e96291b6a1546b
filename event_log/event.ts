/** The events that the daemon logs, one line each. */
export enum Event {
  DaemonStarted = 'daemon-started',
  DaemonDraining = 'daemon-draining',
  DaemonStopped = 'daemon-stopped',
  SettingsReloaded = 'settings-reloaded',
  SettingsRejected = 'settings-rejected',
  DaemonPaused = 'daemon-paused',
  DaemonSuspended = 'daemon-suspended',
  DaemonResumed = 'daemon-resumed',
  Decision = 'decision',
  CallAnswered = 'call-answered',
  CallNotAdmitted = 'call-not-admitted',
  AttemptFailed = 'attempt-failed',
  AttemptSettled = 'attempt-settled',
  LinkOpened = 'link-opened',
  LinkClosed = 'link-closed',
  LinkStalled = 'link-stalled',
  LinkRejected = 'link-rejected',
  ConfigurationApplied = 'configuration-applied',
  ConfigurationRejected = 'configuration-rejected',
  /** No watcher has confirmed for a while that the documents in force are current. */
  WatchersSilent = 'watchers-silent',
  WatchTakenOver = 'watch-taken-over',
  PlatformUnreachable = 'platform-unreachable',
  PlatformRestored = 'platform-restored',
  PlatformOutdated = 'platform-outdated',
  EntryUnreadable = 'entry-unreadable',
  TargetColdStart = 'target-cold-start',
  TargetUnidentified = 'target-unidentified',
  TargetCrashed = 'target-crashed',
  /** A connection to the target was lost while calls were running, but the target answers probes. */
  TargetSurvived = 'target-survived',
  TargetWarm = 'target-warm',
  TargetNotice = 'target-notice',
  CrashRecorded = 'crash-recorded',
  FingerprintQuarantined = 'fingerprint-quarantined',
  FingerprintCleared = 'fingerprint-cleared',
  CallQuarantined = 'call-quarantined',
  KeysHandedOver = 'keys-handed-over',
  AttemptRefused = 'attempt-refused',
  LinesDropped = 'lines-dropped',
  TaskFailed = 'task-failed',
}

/** Value of a field of a log line; fields with `undefined` are omitted. */
export type FieldValue = string | number | boolean | undefined;

/** The fields of a log line, in output order. */
export type Fields = Readonly<Record<string, FieldValue>>;

/**
 * Formats an event as a log line.
 *
 * @param event The event.
 * @param fields Its fields.
 * @returns One line of key=value pairs, with values quoted where needed.
 */
export function formatEvent(event: Event, fields: Fields): string {
  const pairs = [`event=${event}`];
  for (const [key, value] of Object.entries(fields)) {
    if (value !== undefined) pairs.push(`${key}=${formatValue(value)}`);
  }
  return pairs.join(' ');
}

function formatValue(value: Exclude<FieldValue, undefined>): string {
  const text = String(value);
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}
