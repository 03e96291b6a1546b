import type { Settings } from './settings.ts';

/** Settings that a running daemon can apply; changes to the others need a restart. */
const RELOADABLE = ['retries', 'lameDuckMs', 'drainTimeoutMs'] as const;

/** Result of reloading the settings in a running daemon. */
export interface SettingsReload {
  /** Settings in force after the reload. */
  settings: Settings;
  /** Names of changed settings that were applied. */
  applied: string[];
  /** Names of changed settings that need a restart. */
  deferred: string[];
}

/**
 * Applies those changed settings that need no restart.
 *
 * @param before Settings in force.
 * @param read Settings just read.
 * @returns The resulting settings, and which changes were applied or deferred.
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
