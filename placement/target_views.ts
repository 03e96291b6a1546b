import type { TimerService } from '../timer/mod.ts';
import { TargetView } from './target_view.ts';

/** The views that one daemon has of the targets it sends to. */
export class TargetViews {
  readonly #timer: TimerService;
  readonly #views = new Map<string, TargetView>();

  /** @param timer The source of time. */
  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /**
   * @param instanceId Name of an instance.
   * @returns The view of its target, made if there was none.
   */
  get(instanceId: string): TargetView {
    let view = this.#views.get(instanceId);
    if (!view) {
      view = new TargetView(this.#timer);
      this.#views.set(instanceId, view);
    }
    return view;
  }

  /**
   * Drops the views of instances that are gone.
   *
   * @param isListed Whether an instance is still listed.
   */
  prune(isListed: (instanceId: string) => boolean): void {
    for (const [instanceId, view] of this.#views) {
      if (view.outstanding === 0 && !isListed(instanceId)) this.#views.delete(instanceId);
    }
  }
}
