/**
 * Reads INI texts section by section and reports all faults at once, each with its location.
 */
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { parse } from 'ini';
import type { z } from 'zod';

/** A fault in a document. */
export interface ConfigFault {
  /** File or document with the fault. */
  readonly file: string;
  readonly section: string;
  /** Key with the fault; empty if it is in the whole section. */
  readonly key: string;
  /** Value found; undefined if it is missing. */
  readonly seen: string | undefined;
  /** Description of allowed values. */
  readonly allowed: string;
}

/** Formats a fault as a single line. */
export function formatFault(fault: ConfigFault): string {
  const place = `${fault.file}: [${fault.section}]${fault.key === '' ? '' : ` ${fault.key}`}`;
  const seen = fault.seen === undefined ? 'missing' : `seen "${fault.seen}"`;
  return `${place}: ${seen}; allowed: ${fault.allowed}`;
}

type Section = Readonly<Record<string, unknown>>;

/** A parsed INI text. */
export class IniDocument {
  private readonly root: Section;
  private readonly readSections = new Set<string>();
  private readonly found: ConfigFault[] = [];

  constructor(
    readonly file: string,
    text: string,
  ) {
    this.root = parse(text);
  }

  /** Faults found so far. */
  get faults(): readonly ConfigFault[] {
    return this.found;
  }

  /** Records a fault. */
  report(fault: Omit<ConfigFault, 'file'>): void {
    this.found.push({ file: this.file, ...fault });
  }

  /** Reads the section `name` with a strict schema; undefined if it has faults. */
  section<Schema extends z.ZodType>(name: string, schema: Schema): z.output<Schema> | undefined {
    this.readSections.add(name);
    const values = this.root[name] ?? {};
    return this.check(name, values, schema);
  }

  /** Reads the sections `[prefix.name]`, in order of appearance. */
  named<Schema extends z.ZodType>(
    prefix: string,
    schema: Schema,
  ): readonly NamedSection<z.output<Schema>>[] {
    this.readSections.add(prefix);
    const sections = asSection(this.root[prefix]);
    return Object.entries(sections).flatMap(([name, values]) => {
      const value = this.check(`${prefix}.${name}`, values, schema);
      return value === undefined ? [] : [{ name, value }];
    });
  }

  /** Reads the sections `[prefix.outer.inner]`. */
  nested<Schema extends z.ZodType>(
    prefix: string,
    schema: Schema,
  ): readonly NestedSection<z.output<Schema>>[] {
    this.readSections.add(prefix);
    const outer = asSection(this.root[prefix]);
    return Object.entries(outer).flatMap(([outerName, inner]) =>
      Object.entries(asSection(inner)).flatMap(([name, values]) => {
        const value = this.check(`${prefix}.${outerName}.${name}`, values, schema);
        return value === undefined ? [] : [{ outer: outerName, name, value }];
      }),
    );
  }

  /** Records a fault for each section that was not read, then returns the faults or the value. */
  finish<Value>(value: Value | undefined): Result<Value, readonly ConfigFault[]> {
    for (const [name, content] of Object.entries(this.root)) {
      if (this.readSections.has(name)) continue;
      const isSection = typeof content === 'object' && content !== null;
      const section = isSection ? name : '';
      this.report({ section, key: isSection ? '' : name, seen: name, allowed: 'no such name' });
    }
    if (value === undefined || this.found.length > 0) return err(this.found);
    return ok(value);
  }

  private check<Schema extends z.ZodType>(
    name: string,
    values: unknown,
    schema: Schema,
  ): z.output<Schema> | undefined {
    const parsed = schema.safeParse(values);
    if (parsed.success) return parsed.data;
    for (const issue of parsed.error.issues) this.reportIssue(name, values, issue);
    return undefined;
  }

  private reportIssue(section: string, values: unknown, issue: z.core.$ZodIssue): void {
    if (issue.code === 'unrecognized_keys') {
      for (const key of issue.keys) {
        const seen = textOf(asSection(values)[key]);
        this.report({ section, key, seen, allowed: 'no such key' });
      }
      return;
    }
    const key = issue.path.map(String).join('.');
    const seen = textOf(asSection(values)[key]);
    this.report({ section, key, seen, allowed: issue.message });
  }
}

/** A section `[prefix.name]`. */
export interface NamedSection<Value> {
  readonly name: string;
  readonly value: Value;
}

/** A section `[prefix.outer.name]`. */
export interface NestedSection<Value> extends NamedSection<Value> {
  readonly outer: string;
}

function asSection(value: unknown): Section {
  return typeof value === 'object' && value !== null ? (value as Section) : {};
}

function textOf(value: unknown): string | undefined {
  if (value === undefined) return undefined;
  return typeof value === 'string' ? value : JSON.stringify(value);
}
