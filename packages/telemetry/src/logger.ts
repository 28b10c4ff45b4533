import { type ConsolaInstance, createConsola } from "consola";

/** Format of log lines: `text` for people, `json` for one JSON object per line. */
export type LogFormat = "text" | "json";

/** Logger for state changes; everything else is counted in metrics. */
export type Logger = ConsolaInstance;

/** Creates the logger of a program. Log lines go to standard error; standard output is reserved for results. */
export function createLogger(program: string, format: LogFormat): Logger {
    if (format === "text") {
        return createConsola({ stdout: process.stderr, stderr: process.stderr, fancy: false }).withTag(program);
    }
    return createConsola({
        reporters: [{
            log: entry => {
                const [message, fields] = entry.args as [unknown, unknown];
                process.stderr.write(
                    JSON.stringify({ at: entry.date.toISOString(), level: entry.type, program, message, fields })
                        + "\n",
                );
            },
        }],
    });
}
