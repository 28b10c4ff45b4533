/**
 * Finds what is wrong with the transfer codings of a response. The HTTP parser takes codings that it cannot decode, and
 * some that are named twice; it refuses a length beside a coding, and lengths that differ, itself.
 * @param headers Names and values alternately.
 * @returns What is wrong; undefined for one `chunked`, or none.
 */
export function findCodingFault(headers: readonly string[]): string | undefined {
    const codings = headers.filter((_value, index) =>
        index % 2 === 1 && headers[index - 1]!.toLowerCase() === "transfer-encoding"
    );
    const isValid = codings.length === 0 || (codings.length === 1 && codings[0]!.trim().toLowerCase() === "chunked");
    return isValid ? undefined : "a transfer coding other than chunked";
}
