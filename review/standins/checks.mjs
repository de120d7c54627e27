/**
 * Checks of the rules for statements, from what clients sent and got and from what backends ran. A statement's id
 * begins with the name of the client that sent it.
 */

/** Codes that promise that nothing of the client's attempt is kept. */
const PROMISES = new Set(['BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISROUTED', 'OVERLOADED']);

const clientOf = (id) => id.slice(0, id.lastIndexOf('-'));

/** PINNED: a statement runs inside the transaction of another client. */
export function foreignStatements(service) {
  const owners = new Map();
  const broken = [];
  for (const { id, text, tx, conn } of service.runs) {
    if (tx === undefined) continue;
    const owner = owners.get(tx) ?? clientOf(id);
    owners.set(tx, owner);
    if (clientOf(id) === owner) continue;
    broken.push(`PINNED: ${id} (${text}) ran on ${conn} inside ${tx}, the transaction of ${owner}`);
  }
  return broken;
}

/** UNASKED: a backend commits a transaction whose client has not asked for that. */
export function unaskedCommits(service) {
  return service.ended
    .filter(({ how, statements }) => how === 'committed' && statements.length > 0)
    .filter(({ statements, commitId }) => clientOf(statements[0]) !== clientOf(commitId))
    .map(({ name, statements, commitId }) => {
      const owner = clientOf(statements[0]);
      return `UNASKED: ${name}, the transaction of ${owner}, was committed by ${commitId}`;
    });
}

/** REFUSED: a write is committed although its client was promised that nothing is kept. */
export function keptAfterPromise(service, attempts) {
  const committed = new Set(service.commits.flatMap(({ writes }) => writes.map(({ id }) => id)));
  const broken = [];
  for (const { client, answers } of attempts) {
    const promise = answers.find(({ code }) => PROMISES.has(code));
    if (promise === undefined) continue;
    for (const { id, text } of answers.filter((answer) => committed.has(answer.id))) {
      const what = `${id} (${text}) of ${client} is committed`;
      broken.push(`REFUSED: ${what}, although ${promise.id} was answered ${promise.code}`);
    }
  }
  return broken;
}

/** Writes of attempts that ended with a success and that no log holds; no rule of its own, but what a client sees. */
export function lostWrites(service, attempts) {
  const committed = new Set(service.commits.flatMap(({ writes }) => writes.map(({ id }) => id)));
  return attempts.flatMap(({ client, answers }) => {
    const last = answers.at(-1);
    if (last === undefined || last.text !== 'COMMIT' || last.signature === undefined) return [];
    return answers
      .filter(({ id, text }) => text.startsWith('WRITE') && !committed.has(id))
      .map(
        ({ id, text }) => `seen besides: ${client} was told COMPLETE, and ${id} (${text}) is lost`,
      );
  });
}
