/**
 * `npm run measure -- chaos`: runs load under random faults and checks the recorded history.
 */
import { Command, Option } from 'clipanion';
import { runChaos } from '../chaos/chaos-run.js';
import { HARBORLINE, RAMDIN } from '../embedded/shape.js';
import { printFields } from './print-fields.js';

/** Runs load under faults; exits with 1 on a violation or a request without a reply. */
export class ChaosCommand extends Command {
  static override paths = [['chaos']];

  static override usage = Command.Usage({
    description: 'Load under random faults; the history must show no violation.',
  });

  requests = Option.String('--requests', '20000');
  sessions = Option.String('--sessions', '60');
  seed = Option.String('--seed', '1');
  stepMs = Option.String('--step-ms', '700');
  shapeName = Option.String('--shape', RAMDIN.name);
  acknowledgement = Option.String('--acknowledgement', 'majority');

  async execute(): Promise<number> {
    const shape = this.shapeName === HARBORLINE.name ? HARBORLINE : RAMDIN;
    const startedAt = performance.now();
    const result = await runChaos({
      shape,
      seed: Number(this.seed),
      sessions: Number(this.sessions),
      requests: Number(this.requests),
      stepMs: Number(this.stepMs),
      deadlineMs: 2000,
      acknowledgement: this.acknowledgement,
    });
    const seconds = Math.round((performance.now() - startedAt) / 1000);
    const { summary, violations, unanswered, promotions, faults } = result;
    printFields(this.context.stdout, 'chaos', {
      shape: shape.name,
      seed: this.seed,
      seconds,
      ...summary,
      unanswered,
      promotions,
      lost: violations.lost.length,
      doubled: violations.doubled.length,
      ran_after_all: violations.ranAfterAll.length,
      missed: violations.missed.length,
      wrong_answers: violations.wrongAnswers.length,
    });
    printFields(this.context.stdout, 'faults', Object.fromEntries(faults));
    for (const [promise, list] of Object.entries(violations)) {
      for (const item of (list as readonly unknown[]).slice(0, 5)) {
        printFields(this.context.stdout, 'violation', { promise, item: JSON.stringify(item) });
      }
    }
    return summary.violations === 0 && unanswered === 0 ? 0 : 1;
  }
}
