import type { Settings } from './settings.ts';

/** Settings that a running daemon takes on; the others hold from its start. */
const RELOADABLE = ['retries', 'lameDuckMs', 'drainTimeoutMs'] as const;

/** What a changed settings file means to a running daemon. */
export interface SettingsReload {
  /** The settings to go on with. */
  settings: Settings;
  /** Names of settings that have changed and are in force now. */
  applied: string[];
  /** Names of settings that have changed but need a restart. */
  deferred: string[];
}

/**
 * @param before Settings in force.
 * @param read Settings as they were read now.
 * @returns What of them comes into force without a restart.
 */
export function reloadSettings(before: Settings, read: Settings): SettingsReload {
  const names = Object.keys({ ...before, ...read }) as (keyof Settings)[];
  const changed = names.filter(
    (name) => JSON.stringify(before[name]) !== JSON.stringify(read[name]),
  );
  const isReloadable = (name: string) => RELOADABLE.some((each) => each === name);
  const { retries, lameDuckMs, drainTimeoutMs } = read;
  return {
    settings: { ...before, retries, lameDuckMs, drainTimeoutMs },
    applied: changed.filter(isReloadable),
    deferred: changed.filter((name) => !isReloadable(name)),
  };
}
