/**
 * The commands `gladespoolctl bundle check|diff|sign|publish|status`.
 */
import { createHash } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import { signManifest, splitBundle, validSigners } from '@gladespool/protocol';
import { Command, Option } from 'clipanion';
import { diffBundles } from '../bundle-diff.js';
import type { BundleFile } from '../bundle-file.js';
import { saveSignature } from '../bundle-file.js';
import { publishBundle, versionOf } from '../publish-bundle.js';
import { readStoredBundle, readZoneStatuses } from '../read-store.js';
import { ExitCode } from './exit-code.js';
import { OperatorCommand, StoreCommand } from './operator-command.js';

/** Validates a bundle file. */
export class BundleCheckCommand extends OperatorCommand {
  static override paths = [['bundle', 'check']];

  static override usage = Command.Usage({
    description: 'Check a bundle file and print every fault.',
    details: 'Exit codes: 0 when FILE is valid, 2 when it has faults.',
  });

  file = Option.String({ name: 'FILE', required: true });

  async execute(): Promise<number> {
    const file = await this.load(this.file);
    if (file === undefined) return ExitCode.BadInput;
    const { version, base, groups, operators } = file.bundle;
    const signed = file.signatures.map((entry) => entry.operator).join(',');
    const fields = { version, base, groups: groups.length, operators: operators.length, signed };
    this.print('bundle-valid', { file: this.file, ...fields });
    return ExitCode.Ok;
  }
}

/** Prints the differences between a bundle file and the bundle in the store. */
export class BundleDiffCommand extends StoreCommand {
  static override paths = [['bundle', 'diff']];

  static override usage = Command.Usage({
    description: 'Show what FILE changes against the bundle in the store.',
    details: 'Exit codes: 0, 2 for a faulty file, 3 when the store does not answer.',
  });

  file = Option.String({ name: 'FILE', required: true });

  async execute(): Promise<number> {
    const file = await this.load(this.file);
    const store = this.open();
    if (file === undefined || store === undefined) return ExitCode.BadInput;
    const stored = await readStoredBundle(store);
    await store.close();
    if (stored.isErr()) {
      this.printError(stored.error.message);
      return ExitCode.StoreFailed;
    }
    const present = stored.value?.bundle;
    this.print('diff', { from: present?.version ?? 0, to: file.bundle.version });
    for (const change of diffBundles(present, file.bundle)) this.print('change', { ...change });
    return ExitCode.Ok;
  }
}

/** Adds an operator's signature to a bundle file. */
export class BundleSignCommand extends OperatorCommand {
  static override paths = [['bundle', 'sign']];

  static override usage = Command.Usage({
    description: 'Sign FILE as an operator; the signature is written to its last section.',
    details: 'Exit codes: 0 when signed, 2 for a faulty file or key.',
  });

  file = Option.String({ name: 'FILE', required: true });
  operator = Option.String('--operator', { required: true, description: 'Name of the operator.' });
  key = Option.String('--key', { required: true, description: 'File of the private key, PEM.' });

  async execute(): Promise<number> {
    const file = await this.load(this.file);
    if (file === undefined) return ExitCode.BadInput;
    const { manifest } = splitBundle(file.bundle);
    try {
      const pem = await readFile(this.key, 'utf8');
      await saveSignature(file, signManifest(manifest, this.operator, pem));
    } catch (error) {
      this.printError(`${this.key}: ${error instanceof Error ? error.message : String(error)}`);
      return ExitCode.BadInput;
    }
    this.print('bundle-signed', { file: this.file, operator: this.operator });
    return ExitCode.Ok;
  }
}

/** Publishes a signed bundle file to the store. */
export class BundlePublishCommand extends StoreCommand {
  static override paths = [['bundle', 'publish']];

  static override usage = Command.Usage({
    description: 'Publish a signed FILE; it must be made from the version in the store.',
    details: `
      Repeating the command with the same file is safe: a lost reply is settled by reading back.

      Exit codes: 0 when published, 1 when refused (nothing was changed), 2 for a faulty file,
      3 when the store does not answer and the outcome is not known.
    `,
  });

  file = Option.String({ name: 'FILE', required: true });

  async execute(): Promise<number> {
    const file = await this.load(this.file);
    const store = this.open();
    if (file === undefined || store === undefined) return ExitCode.BadInput;
    const code = await this.publish(file, store);
    await store.close();
    return code;
  }

  private async publish(
    file: BundleFile,
    store: NonNullable<ReturnType<BundlePublishCommand['open']>>,
  ): Promise<number> {
    const stored = await readStoredBundle(store);
    if (stored.isErr()) {
      this.printError(stored.error.message);
      return ExitCode.StoreFailed;
    }
    const { manifest } = splitBundle(file.bundle);
    const change = changeId(manifest, file);
    const isRepeated = stored.value?.head.change === change;
    const bundleInForce = stored.value?.bundle ?? file.bundle;
    const signers = validSigners(manifest, file.signatures, bundleInForce);
    if (signers.length < bundleInForce.threshold && !isRepeated) {
      const validSignerNames = signers.join(', ') || 'none';
      this.printError(
        `refused: ${bundleInForce.threshold} valid signatures needed by version ${versionOf(stored.value?.head)}, have ${validSignerNames}`,
      );
      return ExitCode.Refused;
    }
    const { bundle, signatures } = file;
    const outcome = await publishBundle(store, { bundle, signatures, change });
    if (outcome.isErr()) {
      this.printError(outcome.error.message);
      return ExitCode.StoreFailed;
    }
    if (outcome.value.kind === 'refused') {
      const { present, change: presentChange } = outcome.value;
      this.printError(
        `refused: made from version ${bundle.base}, the store holds ${present} (change ${presentChange}); rebase on it`,
      );
      return ExitCode.Refused;
    }
    this.print('bundle-published', { version: outcome.value.version, change });
    return ExitCode.Ok;
  }
}

/** Prints the version in the store and the version in force in each availability zone. */
export class BundleStatusCommand extends StoreCommand {
  static override paths = [['bundle', 'status']];

  static override usage = Command.Usage({
    description: 'Show the version in the store and in force in each zone, and hosts that lag.',
    details: `
      Exit codes: 0 when every zone that reports has the store's version in force on all its
      hosts, 1 when one lags, 3 when the store does not answer.
    `,
  });

  async execute(): Promise<number> {
    const store = this.open();
    if (store === undefined) return ExitCode.BadInput;
    const stored = await readStoredBundle(store);
    const zones = await readZoneStatuses(store);
    await store.close();
    if (stored.isErr() || zones.isErr()) {
      this.printError('the store does not answer');
      return ExitCode.StoreFailed;
    }
    const version = versionOf(stored.value?.head);
    this.print('store', { version, change: stored.value?.head.change });
    for (const zone of zones.value) {
      const lagging = zone.lagging.join(',');
      this.print('zone', { az: zone.az, version: zone.version, hosts: zone.hosts, lagging });
    }
    const isCurrent = zones.value.every(
      (zone) => zone.version === version && zone.lagging.length === 0,
    );
    return isCurrent ? ExitCode.Ok : ExitCode.Refused;
  }
}

/** Returns the id of a publication; the same signed file yields the same id, which makes a retry safe. */
function changeId(manifest: string, file: BundleFile): string {
  const hash = createHash('sha256').update(manifest);
  for (const { operator, signature } of file.signatures) hash.update(operator).update(signature);
  return hash.digest('hex').slice(0, CHANGE_ID_LENGTH);
}

const CHANGE_ID_LENGTH = 16;
