import { type ConsolaInstance, createConsola } from "consola";

/** How log lines are written: for people, or one JSON object a line. */
export type LogFormat = "text" | "json";

/** Logger for changes of state; everything else is a counter. */
export type Logger = ConsolaInstance;

/** Opens the logger of one program. Lines go to standard error, so that standard output stays for results. */
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
