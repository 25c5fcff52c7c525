package settings

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/tailscale/hujson"

	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// maxFileBytes bounds the size of a settings file. The parser recurses once per nesting
// level, so this also limits its stack.
const maxFileBytes = 256 << 10

// maxQuotedBytes bounds how many bytes of a name or value a problem quotes.
const maxQuotedBytes = 40

// plainName matches the field names that appear unquoted in a path.
var plainName = regexp.MustCompile(`^[A-Za-z0-9_-]{1,40}$`)

// Problem is one error in a settings file.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"` // 1 is the first line
	Path    string `json:"path"` // as in "listen.links"; empty for the whole file
	Message string `json:"want"` // expected value and the one found
}

// String returns the problem as "file:line: path: text".
func (p Problem) String() string {
	if p.Path == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Path, p.Message)
}

// Error holds all problems of a file, sorted by line. It unwraps to a
// *result.Error with the code SettingsInvalid.
type Error struct {
	Problems []Problem
}

// Error returns one line for each problem.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns a *result.Error with the code SettingsInvalid.
func (e *Error) Unwrap() error {
	return result.Errorf(result.SettingsInvalid, "%d problems", len(e.Problems))
}

// Load reads and validates a settings file. It returns an *Error for a file with problems
// and a *result.Error with the code SettingsInvalid for an unreadable file.
func Load(path string) (*Settings, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, data)
}

// readFile reads a settings file, up to one byte more than parse accepts.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, result.Errorf(result.SettingsInvalid, "settings: %v", err)
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, result.Errorf(result.SettingsInvalid, "settings: %v", err)
	}
	return data, nil
}

// Parse parses and validates the content of a settings file. The name is the file name in
// problems.
func Parse(name string, data []byte) (*Settings, error) {
	s := Default()
	if err := parse(name, data, s, func(d *decoder) { d.check(s) }); err != nil {
		return nil, err
	}
	return s, nil
}

// parse decodes a file into target and, if the file is an object, runs check on it.
func parse(name string, data []byte, target any, check func(*decoder)) error {
	d := &decoder{fileName: name, data: data, lines: map[string]int{}, invalidPaths: map[string]bool{}}
	if len(data) > maxFileBytes {
		d.invalid("", 1, fmt.Sprintf("expected at most %s", Size(maxFileBytes)))
		return &Error{d.problems}
	}
	root, err := hujson.Parse(data)
	if err != nil {
		line := 1
		text := strings.TrimPrefix(err.Error(), "hujson: ")
		var column int
		if n, _ := fmt.Sscanf(text, "line %d, column %d:", &line, &column); n != 2 {
			line = 1
		}
		d.invalid("", line, "expected JSON with comments: "+oneLine(text))
		return &Error{d.problems}
	}
	d.decodeValue(root, reflect.ValueOf(target).Elem(), "")
	if !d.invalidPaths[""] {
		check(d)
	}
	if len(d.problems) > 0 {
		slices.SortStableFunc(d.problems, func(a, b Problem) int { return a.Line - b.Line })
		return &Error{d.problems}
	}
	return nil
}

// oneLine truncates the parser's message, which quotes the file, and replaces its unprintable
// characters, so that it fits on one line.
func oneLine(text string) string {
	const maxBytes = 200
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return '?'
	}, text[:min(len(text), maxBytes)])
}

type decoder struct {
	fileName     string
	data         []byte
	lines        map[string]int // line of each path in the file
	invalidPaths map[string]bool
	problems     []Problem
}

// invalid reports a problem and marks the path, so that fail reports no further problem at it.
func (d *decoder) invalid(path string, line int, message string) {
	d.invalidPaths[path] = true
	d.report(path, line, message)
}

// report adds a problem. Checks of the value at the path still run.
func (d *decoder) report(path string, line int, message string) {
	d.problems = append(d.problems, Problem{d.fileName, line, path, message})
}

func (d *decoder) lineAt(offset int) int {
	return 1 + bytes.Count(d.data[:min(offset, len(d.data))], []byte{'\n'})
}

// joinPath appends a field name to a path. It quotes names that are not plain, since a dot in
// a name would look like a nested field, and a line break like another problem.
func joinPath(path, name string) string {
	if !plainName.MatchString(name) {
		name = strconv.Quote(name[:min(len(name), maxQuotedBytes)])
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

// decodeValue decodes v into target, which has the type of the field at path.
func (d *decoder) decodeValue(v hujson.Value, target reflect.Value, path string) {
	line := d.lineAt(v.StartOffset)
	d.lines[path] = line
	literal, _ := v.Value.(hujson.Literal)
	kind := byte(v.Value.Kind())
	expected := func(want string) {
		d.invalid(path, line, fmt.Sprintf("expected %s, found %s", want, describe(v.Value)))
	}
	switch p := target.Addr().Interface().(type) {
	case *Duration:
		var parsed time.Duration
		ok := kind == '"'
		if ok {
			var err error
			parsed, err = time.ParseDuration(literal.String())
			ok = err == nil
		}
		if !ok {
			expected(`a duration with a unit, such as "500ms" or "5s"`)
			return
		}
		*p = Duration(parsed)
	case *Size:
		var size Size
		ok := kind == '"'
		if ok {
			size, ok = parseSize(literal.String())
		}
		if !ok {
			expected(`a size with a unit, such as "64KiB" or "1MiB"`)
			return
		}
		*p = size
	case *string:
		if kind != '"' {
			expected("a string")
			return
		}
		*p = literal.String()
	case *float64:
		n, err := strconv.ParseFloat(string(literal), 64)
		if kind != '0' || err != nil { // Literal.Float does not report numbers out of range
			expected("a number")
			return
		}
		*p = n
	case *bool:
		if kind != 't' && kind != 'f' {
			expected("true or false")
			return
		}
		*p = kind == 't'
	case *[]string:
		array, ok := v.Value.(*hujson.Array)
		if !ok {
			expected("an array of strings")
			return
		}
		list := make([]string, len(array.Elements))
		for i, element := range array.Elements {
			d.decodeValue(element, reflect.ValueOf(&list[i]).Elem(), path)
		}
		*p = list
	case *map[string]string:
		object, ok := v.Value.(*hujson.Object)
		if !ok {
			expected("an object of strings")
			return
		}
		table := make(map[string]string, len(object.Members))
		for _, member := range object.Members {
			var value string
			name := member.Name.Value.(hujson.Literal).String()
			d.decodeValue(member.Value, reflect.ValueOf(&value).Elem(), joinPath(path, name))
			table[name] = value
		}
		*p = table
	default:
		object, ok := v.Value.(*hujson.Object)
		if !ok {
			expected("an object")
			return
		}
		d.decodeObject(object, target, path)
	}
}

func (d *decoder) decodeObject(object *hujson.Object, target reflect.Value, path string) {
	fields := map[string]int{}
	for i := range target.NumField() {
		fields[target.Type().Field(i).Tag.Get("json")] = i
	}
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		at, line := joinPath(path, name), d.lineAt(member.Name.StartOffset)
		i, known := fields[name]
		switch {
		case !known:
			d.report(at, line, unknownField(name, fields))
		case seen[name]:
			d.report(at, line, "expected the field once, found it again")
		default:
			d.decodeValue(member.Value, target.Field(i), at)
		}
		seen[name] = true
	}
}

// unknownField returns the message for an unknown field. It suggests the most similar known name, or
// lists all of them if none is similar.
func unknownField(name string, fields map[string]int) string {
	best, bestDistance := "", max(2, len(name)/3)+1
	names := make([]string, 0, len(fields))
	for field := range fields {
		names = append(names, field)
	}
	slices.Sort(names)
	for _, field := range names {
		if distance := editDistance(name, field); distance < bestDistance {
			best, bestDistance = field, distance
		}
	}
	if best != "" {
		return fmt.Sprintf("unknown field, did you mean %q?", best)
	}
	return "unknown field, expected one of " + strings.Join(names, ", ")
}

// editDistance returns the Levenshtein distance in bytes. Names longer than bound are
// truncated first.
func editDistance(a, b string) int {
	const bound = 64
	a, b = a[:min(len(a), bound)], b[:min(len(b), bound)]
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}

// describe returns the type of a value in the file, with the value itself if it is a string, number
// or other literal.
func describe(v hujson.ValueTrimmed) string {
	switch v.Kind() {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		text := v.(hujson.Literal).String()
		if len(text) > maxQuotedBytes {
			text = text[:maxQuotedBytes] + "..."
		}
		return fmt.Sprintf("the string %q", text)
	case '0':
		return "the number " + string(v.(hujson.Literal)[:min(maxQuotedBytes, len(v.(hujson.Literal)))])
	}
	return string(v.(hujson.Literal))
}
