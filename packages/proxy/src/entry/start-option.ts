/**
 * Options that a caller states at start-up, as parameters of their own or as `-c name=value` words
 * of the `options` parameter.
 */

/** Value of an option; undefined when it is not stated. */
export function startOption(
  parameters: ReadonlyMap<string, string>,
  name: string,
): string | undefined {
  const own = parameters.get(name);
  if (own !== undefined) return own;
  const words = (parameters.get('options') ?? '').split(/\s+/);
  const prefixes = [`${name}=`, `-c${name}=`];
  const word = words.find((candidate) => prefixes.some((prefix) => candidate.startsWith(prefix)));
  return word?.slice(word.indexOf('=') + 1);
}
