/**
 * The command `gladespoolctl keys new NAME`, which creates a key pair for an operator.
 */
import { writeFile } from 'node:fs/promises';
import { createOperatorKeys } from '@gladespool/protocol';
import { Command, Option } from 'clipanion';
import { ExitCode } from './exit-code.js';
import { OperatorCommand } from './operator-command.js';

const OWNER_ONLY = 0o600;

/** Creates an operator's key pair. */
export class KeysNewCommand extends OperatorCommand {
  static override paths = [['keys', 'new']];

  static override usage = Command.Usage({
    description: 'Create an Ed25519 key pair: the private key goes to NAME.pem, never overwritten.',
    details: 'Exit codes: 0 when created, 2 when NAME.pem exists or cannot be written.',
  });

  name = Option.String({ name: 'NAME', required: true });

  async execute(): Promise<number> {
    const keys = createOperatorKeys();
    const file = `${this.name}.pem`;
    try {
      await writeFile(file, keys.privateKey, { mode: OWNER_ONLY, flag: 'wx' });
    } catch (error) {
      this.printError(`${file}: ${error instanceof Error ? error.message : String(error)}`);
      return ExitCode.BadInput;
    }
    const key = keys.publicKey.toString('base64');
    this.print('key-created', { operator: this.name, file, key });
    return ExitCode.Ok;
  }
}
