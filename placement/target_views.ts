import type { TimerService } from '../timer/mod.ts';
import { TargetView } from './target_view.ts';

/** Views that one daemon has of the targets it sends attempts to, by instance. */
export class TargetViews {
  readonly #timer: TimerService;
  readonly #views = new Map<string, TargetView>();

  /** @param timer The clock. */
  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /**
   * Returns the view of an instance's target, and adds one if there is none.
   *
   * @param instanceId ID of the instance.
   * @returns The view.
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
   * Drops the views of instances that are no longer listed and have no outstanding attempts.
   *
   * @param isListed Reports whether an instance is listed.
   */
  prune(isListed: (instanceId: string) => boolean): void {
    for (const [instanceId, view] of this.#views) {
      if (view.outstanding === 0 && !isListed(instanceId)) this.#views.delete(instanceId);
    }
  }
}
