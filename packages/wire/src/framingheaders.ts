const lengthPattern = /^\d+$/;

/**
 * Finds what is wrong with the headers of a response that say where its body ends. The HTTP parser takes codings that it
 * cannot decode, and some that are named twice.
 * @param headers Names and values alternately.
 * @returns What is wrong; undefined for valid headers.
 */
export function findFramingFault(headers: readonly string[]): string | undefined {
    const codings = listValues(headers, "transfer-encoding");
    const lengths = listValues(headers, "content-length");
    if (codings.length > 0 && (codings.length > 1 || codings[0]!.toLowerCase() !== "chunked")) {
        return "a transfer coding other than chunked";
    }
    if (codings.length > 0 && lengths.length > 0) {
        return "a length beside a transfer coding";
    }
    const isValid = lengths.every(length => lengthPattern.test(length) && Number(length) === Number(lengths[0]));
    return isValid ? undefined : "lengths that differ or are no numbers";
}

/** Lists the values of a header, of which a line may contain several. */
function listValues(headers: readonly string[], name: string): string[] {
    return headers
        .filter((_value, index) => index % 2 === 1 && headers[index - 1]!.toLowerCase() === name)
        .flatMap(value => value.split(","))
        .map(value => value.trim());
}
