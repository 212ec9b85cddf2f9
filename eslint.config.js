// Rules for the content of the code. The rules for its layout are in eslint.format.config.js.
import eslint from "@eslint/js";
import jsdoc from "eslint-plugin-jsdoc";
import tseslint from "typescript-eslint";

const namingRules = [
    "error",
    { selector: "default", format: ["camelCase"], leadingUnderscore: "forbid" },
    { selector: "variable", modifiers: ["const"], format: ["camelCase", "UPPER_CASE"], leadingUnderscore: "forbid" },
    { selector: "parameter", format: ["camelCase"], leadingUnderscore: "allow" },
    { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
    { selector: "enumMember", format: ["PascalCase"] },
    { selector: "import", format: null },
    { selector: ["objectLiteralProperty", "typeProperty"], format: null },
];

export default tseslint.config(
    { ignores: ["**/lib/**", "**/node_modules/**", "target/**"] },
    {
        files: ["packages/**/*.ts", "platform/**/*.ts"],
        extends: [eslint.configs.recommended, ...tseslint.configs.recommendedTypeChecked],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        plugins: { jsdoc },
        rules: {
            "@typescript-eslint/naming-convention": namingRules,
            "@typescript-eslint/consistent-type-imports": ["error", { fixStyle: "inline-type-imports" }],
            "@typescript-eslint/explicit-function-return-type": ["error", { allowExpressions: true }],
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
            "@typescript-eslint/no-unused-expressions": "off",
            "@typescript-eslint/require-await": "off",
            "@typescript-eslint/no-explicit-any": "error",
            curly: ["error", "all"],
            eqeqeq: ["error", "always"],
            "func-style": ["error", "expression"],
            "prefer-arrow-callback": "error",
            "prefer-const": "error",
            "max-lines": ["error", { max: 300, skipBlankLines: true, skipComments: true }],
            "jsdoc/require-file-overview": "off",
        },
    },
    {
        files: ["packages/**/src/**/*.ts", "platform/src/**/*.ts"],
        ignores: ["**/__tests__/**"],
        rules: {
            "max-lines-per-function": ["error", { max: 120, skipBlankLines: true, skipComments: true }],
        },
    },
);
