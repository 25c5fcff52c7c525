package settings

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

const exampleFile = "../../docs/examples/settings.jsonc"

// The example file must load, since operators start from it.
func TestExampleLoads(t *testing.T) {
	s, err := Load(exampleFile)
	require.NoError(t, err)
	require.Equal(t, "10.20.1.4:7400", s.LinkAddr())
	require.Equal(t, 64*KiB, s.Limits.BodyBuffer)
}

// validFile is a file without problems. The line numbers in the test cases refer to it.
const validFile = `// one VM
{
  "fleet": "tsehay",
  "vm": { "id": "entry-01", "region": "addis", "zone": "addis-a" },
  "listen": {
    "callers": "127.0.0.1:8080",
    "links": "127.0.0.1:7400",
    "operators": "127.0.0.1:7500",
  },
  "platform": { "log_url": "http://127.0.0.1:9000", "list_url": "http://127.0.0.1:9001/vms" },
  "root_key": "11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo=",
  "drain_delay": "5s",
  "drain_timeout": "60s",
}
`

// Guards against a problem that is missed, reported at the wrong place or twice, or masked
// by another one.
func TestProblemsAreReported(t *testing.T) {
	_, err := Parse("f", []byte(validFile))
	require.NoError(t, err)
	tests := map[string]struct {
		change []string // alternating old and new text
		want   []string // beginning of each line of the error
	}{
		"several at once": {
			[]string{`"tsehay"`, `"Tsehay!"`, `"id": "entry-01", `, ``, `:7500"`, `"`, `"5s"`, `"5"`},
			[]string{`f:3: fleet: expected a name`, `f:4: vm.id: expected a name`, `f:8: listen.operators: expected an IP address`,
				`f:12: drain_delay: expected a duration with a unit`},
		},
		"missing objects": {
			[]string{`"vm": { "id": "entry-01", "region": "addis", "zone": "addis-a" },`, ``},
			[]string{`f:2: vm.id: expected a name`, `f:2: vm.region: expected a name`, `f:2: vm.zone: expected a name`},
		},
		"misspelt field": {
			[]string{`"drain_delay"`, `"drain_dealy"`},
			[]string{`f:12: drain_dealy: unknown field, did you mean "drain_delay"?`},
		},
		"odd names hide nothing": {
			[]string{`"fleet": "tsehay"`, `"": 1, "vm.id": "x", "a\nb": 2, "fleet": "-"`, `"id": "entry-01", `, ``},
			[]string{`f:3: "": unknown field`, `f:3: "vm.id": unknown field`, `f:3: "a\nb": unknown field`, `f:3: fleet: expected a name`,
				`f:4: vm.id: expected a name`},
		},
		"repeated field": {
			[]string{`"fleet": "tsehay",`, "\"fleet\": \"-\",\n\"fleet\": \"tsehay\","},
			[]string{`f:3: fleet: expected a name`, `f:4: fleet: expected the field once`},
		},
		"wrong types": {
			[]string{`"tsehay"`, `7`, `{ "id": "entry-01", "region": "addis", "zone": "addis-a" }`, `null`},
			[]string{`f:3: fleet: expected a string, found the number 7`, `f:4: vm: expected an object, found null`},
		},
		"contradictions": {
			[]string{`"127.0.0.1:7400"`, `"0.0.0.0:8080"`, `"60s"`, `"2s"`, `"root_key"`, `"limits": {"body_buffer": "1MiB", "body_buffer_total": "2KiB"}, "root_key"`},
			[]string{`f:2: advertise.links: expected the address that other VMs dial`, `f:7: listen.links: expected a loopback address, or certificates in tls.links`,
				`f:11: limits.body_buffer_total: expected at least limits.body_buffer (1MiB)`, `f:13: drain_timeout: expected at least drain_delay (5s), found 2s`},
		},
		"port taken on all addresses": {
			[]string{`"127.0.0.1:8080"`, `"0.0.0.0:7500"`},
			[]string{`f:8: listen.operators: expected another address than listen.callers (0.0.0.0:7500)`},
		},
		"no contradiction with an unusable value": {
			[]string{`"5s"`, `"soon"`, `"60s"`, `"2s"`},
			[]string{`f:12: drain_delay: expected a duration`},
		},
		"ranges": {
			[]string{`"5s"`, `"6m"`, `"60s"`, `"2h"`, `"root_key"`, `"limits": {"header": "1GiB"}, "tracing": {"sample_ratio": 1e400}, "root_key"`},
			[]string{`f:11: tracing.sample_ratio: expected a number`, `f:11: limits.header: expected 4KiB to 1MiB, found 1GiB`,
				`f:12: drain_delay: expected 0s to 5m0s, found 6m0s`, `f:13: drain_timeout: expected 1s to 1h0m0s`},
		},
		"partial certificates": {
			[]string{`"root_key"`, `"tls": {"links": {"cert": "a"}}, "root_key"`},
			[]string{`f:11: tls.links.key: expected a file name`, `f:11: tls.links.ca: expected a file name`},
		},
		"URLs and key": {
			[]string{`http://127.0.0.1:9000`, `http://:9000`, `11qYAYKx`, ``},
			[]string{`f:10: platform.log_url: expected an http or https URL`, `f:11: root_key: expected a base64 Ed25519`},
		},
		"syntax":        {[]string{`"fleet": `, `"fleet" `}, []string{`f:3: expected JSON with comments`}},
		"not an object": {[]string{validFile, "// x\n[]"}, []string{`f:2: expected an object, found an array`}},
		"too large":     {[]string{`// one VM`, `//` + strings.Repeat("x", maxFileBytes)}, []string{`f:1: expected at most 256KiB`}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			file := validFile
			for i := 0; i < len(test.change); i += 2 {
				require.Contains(t, file, test.change[i])
				file = strings.Replace(file, test.change[i], test.change[i+1], 1)
			}
			_, err := Parse("f", []byte(file))
			var problems *Error
			require.ErrorAs(t, err, &problems)
			lines := strings.Split(problems.Error(), "\n")
			require.Len(t, lines, len(test.want), "%s", problems)
			for i, want := range test.want {
				require.True(t, strings.HasPrefix(lines[i], want), "problem %d: want %q, got %q", i, want, lines[i])
			}
			var coded *result.Error
			require.ErrorAs(t, err, &coded)
			require.Equal(t, result.SettingsInvalid, coded.Code)
		})
	}
}

// The error for an unreadable file must have a result code too.
func TestUnreadableFile(t *testing.T) {
	_, err := Load(t.TempDir())
	var coded *result.Error
	require.ErrorAs(t, err, &coded)
	require.Equal(t, result.SettingsInvalid, coded.Code)
}

// No input may cause a panic, an error without a problem, or a problem whose line is
// outside the file or whose text contains a line break.
func FuzzParse(f *testing.F) {
	example, err := os.ReadFile(exampleFile)
	require.NoError(f, err)
	f.Add(example)
	f.Add([]byte(validFile))
	f.Add([]byte("\"\n\""))
	f.Add([]byte(`{"": {"a.b": [1e999]}, "vm": {"\u0000": "\ud800"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f", data)
		if (s == nil) == (err == nil) {
			t.Fatalf("settings %v and error %v", s, err)
		}
		if err == nil {
			return
		}
		var problems *Error
		require.ErrorAs(t, err, &problems)
		require.NotEmpty(t, problems.Problems)
		for _, p := range problems.Problems {
			require.LessOrEqual(t, 1, p.Line)
			require.LessOrEqual(t, p.Line, 1+strings.Count(string(data), "\n"))
			require.NotContains(t, p.String(), "\n")
		}
	})
}
