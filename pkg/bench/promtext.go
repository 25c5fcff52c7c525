package bench

import (
	"strconv"
	"strings"
)

// parseMetric parses a line of the Prometheus text format. It returns an empty name for
// lines that are not samples. Label values must not contain commas or spaces.
func parseMetric(line string) (name string, labels map[string]string, value float64) {
	head, tail, ok := strings.Cut(line, " ")
	if !ok || strings.HasPrefix(line, "#") {
		return "", nil, 0
	}
	value, err := strconv.ParseFloat(tail, 64)
	if err != nil {
		return "", nil, 0
	}
	name, list, _ := strings.Cut(head, "{")
	labels = map[string]string{}
	for _, pair := range strings.Split(strings.TrimSuffix(list, "}"), ",") {
		if k, v, ok := strings.Cut(pair, "="); ok {
			labels[k] = strings.Trim(v, `"`)
		}
	}
	return name, labels, value
}
