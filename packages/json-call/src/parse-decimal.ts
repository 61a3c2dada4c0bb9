/**
 * Decimal numbers in headers. What else a program takes for a number (hexadecimal digits, an empty
 * text, a sign) is none there.
 */
const DECIMAL = /^(\d+\.?\d*|\.\d+)$/;

/** Undefined where the text is no decimal number; infinite where the number is too large. */
export function parseDecimal(text: string): number | undefined {
  return DECIMAL.test(text.trim()) ? Number(text) : undefined;
}
