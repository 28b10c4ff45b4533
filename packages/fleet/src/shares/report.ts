import * as z from "zod";

/** Longest name of an account, in characters; the configuration allows no longer ones. */
const maxNameLength = 256;

/** Maximum number of accounts in one report. */
export const maxReportedAccounts = 64;

/**
 * Usage of accounts since the sender's last report: name and whole tokens. The empty name stands for requests without
 * an account. A report that cannot be read is taken as empty: an error would close the link, which also carries the
 * admission of requests.
 */
export const usageReportSchema = z.array(z.tuple([z.string().max(maxNameLength), z.number()]))
    .max(maxReportedAccounts)
    .catch([]);

/** See {@link usageReportSchema}. */
export type UsageReport = z.infer<typeof usageReportSchema>;
