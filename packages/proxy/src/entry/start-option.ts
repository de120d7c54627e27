/**
 * Options that a caller sets at start-up, either as start-up parameters or as `-c name=value` arguments
 * in the `options` parameter.
 */

/** Returns the value of an option; undefined if it is not set. */
export function startOption(
  parameters: ReadonlyMap<string, string>,
  name: string,
): string | undefined {
  const parameter = parameters.get(name);
  if (parameter !== undefined) return parameter;
  const args = (parameters.get('options') ?? '').split(/\s+/);
  const prefixes = [`${name}=`, `-c${name}=`];
  const argument = args.find((candidate) =>
    prefixes.some((prefix) => candidate.startsWith(prefix)),
  );
  return argument?.slice(argument.indexOf('=') + 1);
}
