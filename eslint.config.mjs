import { readFileSync } from "node:fs";
import tseslint from "typescript-eslint";

/** Allowed first words of function names: the first column of the table in docs/reference/verbs.md. */
const verbs = readFileSync(new URL("docs/reference/verbs.md", import.meta.url), "utf8")
    .split("\n")
    .filter(line => /^\| [a-z]/.test(line))
    .flatMap(line => line.split("|")[1].trim().split(", "));
const verbPattern = `^(${verbs.join("|")})([A-Z0-9].*)?$`;

export default tseslint.config(
    { ignores: ["**/dist/**", "**/node_modules/**", "out/**", "target/**"] },
    {
        files: ["packages/**/*.ts", "platform/**/*.ts", "test/**/*.ts"],
        extends: [tseslint.configs.recommendedTypeChecked],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            curly: "error",
            eqeqeq: "error",
            "no-var": "error",
            "prefer-const": "error",
            "max-lines": ["error", { max: 600, skipComments: true, skipBlankLines: true }],
            "max-lines-per-function": ["error", { max: 80, skipComments: true, skipBlankLines: true }],
            "no-restricted-syntax": [
                "error",
                { selector: "ExportDefaultDeclaration", message: "Named exports only." },
                {
                    selector: "FunctionExpression[parent.type!='MethodDefinition'][parent.type!='Property']",
                    message: "Arrow functions rather than function expressions.",
                },
            ],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/switch-exhaustiveness-check": ["error", { considerDefaultExhaustiveForUnions: true }],
            "@typescript-eslint/explicit-member-accessibility": ["error", { accessibility: "no-public" }],
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_", varsIgnorePattern: "^_" }],
            "@typescript-eslint/no-non-null-assertion": "off",
            "@typescript-eslint/require-await": "off",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "enumMember", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                {
                    selector: ["function", "classMethod"],
                    format: ["camelCase"],
                    custom: { regex: verbPattern, match: true },
                },
                { selector: ["variable", "parameter", "classProperty"], modifiers: ["unused"], format: null },
                { selector: "variable", format: ["camelCase"] },
                { selector: "parameter", format: ["camelCase"], leadingUnderscore: "allow" },
                { selector: "classProperty", format: ["camelCase"] },
            ],
        },
    },
    {
        files: ["packages/*/test/**/*.ts", "platform/test/**/*.ts", "test/**/*.ts"],
        rules: { "max-lines-per-function": "off" },
    },
);
