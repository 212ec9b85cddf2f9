// Rules for the layout only: the guidelines of the TypeScript team, with `else` on its own line. `npm run format` fixes
// violations where this is possible automatically.
import stylistic from "@stylistic/eslint-plugin";
import tseslint from "typescript-eslint";

export const formatRules = {
    "@stylistic/indent": ["error", 4, { SwitchCase: 1, flatTernaryExpressions: true, offsetTernaryExpressions: false }],
    "@stylistic/quotes": ["error", "double", { avoidEscape: false, allowTemplateLiterals: "avoidEscape" }],
    "@stylistic/semi": ["error", "always"],
    "@stylistic/member-delimiter-style": "error",
    "@stylistic/brace-style": ["error", "stroustrup", { allowSingleLine: false }],
    "@stylistic/comma-dangle": ["error", "always-multiline"],
    "@stylistic/arrow-parens": ["error", "always"],
    "@stylistic/max-len": ["error", { code: 120, ignoreUrls: true, ignoreTemplateLiterals: true, ignoreStrings: true }],
    "@stylistic/max-statements-per-line": ["error", { max: 1 }],
    "@stylistic/no-trailing-spaces": "error",
    "@stylistic/no-multi-spaces": "error",
    "@stylistic/no-multiple-empty-lines": ["error", { max: 1, maxBOF: 0, maxEOF: 0 }],
    "@stylistic/eol-last": "error",
    "@stylistic/object-curly-spacing": ["error", "always"],
    "@stylistic/array-bracket-spacing": ["error", "never"],
    "@stylistic/space-before-blocks": "error",
    "@stylistic/space-infix-ops": "error",
    "@stylistic/keyword-spacing": "error",
    "@stylistic/comma-spacing": "error",
    "@stylistic/key-spacing": "error",
    "@stylistic/arrow-spacing": "error",
    "@stylistic/quote-props": ["error", "as-needed"],
};

export default [
    { ignores: ["**/lib/**", "**/node_modules/**", "target/**"] },
    {
        files: ["**/*.ts", "**/*.js", "**/*.mjs"],
        languageOptions: { parser: tseslint.parser },
        linterOptions: { reportUnusedDisableDirectives: "off" },
        plugins: { "@stylistic": stylistic },
        rules: formatRules,
    },
];
