import {Writable} from 'node:stream';

export type OutputFormat = 'table' | 'json';

/** A row of a table: column name to value. */
export type Row = Readonly<Record<string, unknown>>;

/** Writes results to standard output; messages go to standard error. */
export class Output {
  constructor(
    private readonly format: OutputFormat,
    private readonly stream: Writable = process.stdout,
  ) {}

  /** Writes rows as a table, or as one JSON array. */
  writeRows(rows: readonly object[], columns: readonly string[]): void {
    if (this.format === 'json') this.writeJson(rows);
    else this.stream.write(formatTable(rows as readonly Row[], columns));
  }

  /** Writes several tables, or one JSON object with an array for each. */
  writeSections(
    sections: Readonly<Record<string, {rows: readonly object[]; columns: readonly string[]}>>,
  ): void {
    if (this.format === 'json') {
      const entries = Object.entries(sections).map(([name, {rows}]) => [name, rows]);
      this.writeJson(Object.fromEntries(entries));
      return;
    }
    for (const {rows, columns} of Object.values(sections)) this.writeRows(rows, columns);
  }

  /** Writes one object as a table of fields and values, or as JSON. */
  writeObject(value: Row): void {
    if (this.format === 'json') {
      this.writeJson(value);
      return;
    }
    const rows = Object.entries(value).map(([field, content]) => ({field, value: content}));
    this.stream.write(formatTable(rows, ['field', 'value']));
  }

  private writeJson(value: unknown): void {
    this.stream.write(JSON.stringify(value, null, 2) + '\n');
  }
}

function formatCell(value: unknown): string {
  if (value === undefined || value === null) return '-';
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

function formatTable(rows: readonly Row[], columns: readonly string[]): string {
  const cells = [columns, ...rows.map(row => columns.map(column => formatCell(row[column])))];
  const widths = columns.map((_, i) => Math.max(...cells.map(line => line[i].length)));
  return cells
    .map(
      line =>
        line
          .map((cell, i) => cell.padEnd(widths[i]))
          .join('  ')
          .trimEnd() + '\n',
    )
    .join('');
}
