/** Reads single values from metrics in the Prometheus text format. */

/** One sample of a metric. */
export interface MetricSample {
    readonly labels: Readonly<Record<string, string>>;
    readonly value: number;
}

const SAMPLE_PATTERN = /^([A-Za-z_:][A-Za-z0-9_:]*)(?:\{(.*)\})? (\S+)/;
const LABEL_PATTERN = /([A-Za-z_][A-Za-z0-9_]*)="((?:[^"\\]|\\.)*)"/g;

const parseLabels = (text: string): Readonly<Record<string, string>> =>
    Object.fromEntries([...text.matchAll(LABEL_PATTERN)].map(([, name = "", value = ""]) => [name, value]));

/** Returns all samples of the metric `name`. */
export const readMetricSamples = (text: string, name: string): readonly MetricSample[] =>
    text.split("\n").flatMap((line) => {
        const [, sampleName, labels = "", value] = SAMPLE_PATTERN.exec(line) ?? [];
        return sampleName === name ? [{ labels: parseLabels(labels), value: Number(value) }] : [];
    });

/** Returns the sum of the samples of a metric that have all of `labels`, or 0 if there are none. */
export const sumMetric = (text: string, name: string, labels: Readonly<Record<string, string>> = {}): number =>
    readMetricSamples(text, name)
        .filter((sample) => Object.entries(labels).every(([label, value]) => sample.labels[label] === value))
        .reduce((total, sample) => total + sample.value, 0);
