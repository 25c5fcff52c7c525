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

// maxFileBytes bounds the file. The parser recurses once per nesting level, so the
// bound also limits its stack.
const maxFileBytes = 256 << 10

// maxShown is how many bytes of a text of the file a problem repeats.
const maxShown = 40

// plainName matches the names that a path shows without quotes.
var plainName = regexp.MustCompile(`^[A-Za-z0-9_-]{1,40}$`)

// Problem is one fault of a settings file.
type Problem struct {
	File string `json:"file"`
	Line int    `json:"line"` // 1 is the first line
	Path string `json:"path"` // as in "listen.links"; empty for the whole file
	Want string `json:"want"` // what is expected, and what was found
}

// String returns the problem as "file:line: path: text".
func (p Problem) String() string {
	if p.Path == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Want)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Path, p.Want)
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

// Unwrap returns the result code of the error.
func (e *Error) Unwrap() error {
	return result.Errorf(result.SettingsInvalid, "%d problems", len(e.Problems))
}

// Load reads and checks a settings file. A file with problems gives an *Error, one
// that cannot be read a *result.Error with the code SettingsInvalid.
func Load(path string) (*Settings, error) {
	data, err := read(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, data)
}

// read reads a settings file up to the bound that parse checks.
func read(path string) ([]byte, error) {
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

// Parse checks the content of a settings file. The name is used in problems.
func Parse(name string, data []byte) (*Settings, error) {
	s := Default()
	if err := parse(name, data, s, func(d *decoder) { d.check(s) }); err != nil {
		return nil, err
	}
	return s, nil
}

// parse decodes a file into target and checks it once its form is right.
func parse(name string, data []byte, target any, check func(*decoder)) error {
	d := &decoder{file: name, data: data, lines: map[string]int{}, bad: map[string]bool{}}
	if len(data) > maxFileBytes {
		d.problem("", 1, fmt.Sprintf("expected at most %s", Size(maxFileBytes)))
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
		d.problem("", line, "expected JSON with comments: "+oneLine(text))
		return &Error{d.problems}
	}
	d.value(root, reflect.ValueOf(target).Elem(), "")
	if !d.bad[""] {
		check(d)
	}
	if len(d.problems) > 0 {
		slices.SortStableFunc(d.problems, func(a, b Problem) int { return a.Line - b.Line })
		return &Error{d.problems}
	}
	return nil
}

// oneLine keeps the parser's message, which repeats text of the file, on one line.
func oneLine(text string) string {
	const most = 200
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return '?'
	}, text[:min(len(text), most)])
}

type decoder struct {
	file     string
	data     []byte
	lines    map[string]int // line of each path that the file holds
	bad      map[string]bool
	problems []Problem
}

// problem reports a value that cannot be used, so that no check looks at it.
func (d *decoder) problem(path string, line int, want string) {
	d.bad[path] = true
	d.report(path, line, want)
}

func (d *decoder) report(path string, line int, want string) {
	d.problems = append(d.problems, Problem{d.file, line, path, want})
}

func (d *decoder) line(offset int) int {
	return 1 + bytes.Count(d.data[:min(offset, len(d.data))], []byte{'\n'})
}

// join quotes a name that is no plain one: a dot in it must not look like a
// nested field, nor a line break like another problem.
func join(path, name string) string {
	if !plainName.MatchString(name) {
		name = strconv.Quote(name[:min(len(name), maxShown)])
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

// value decodes v into target, which has the type of the field at path.
func (d *decoder) value(v hujson.Value, target reflect.Value, path string) {
	line := d.line(v.StartOffset)
	d.lines[path] = line
	literal, _ := v.Value.(hujson.Literal)
	kind := byte(v.Value.Kind())
	expected := func(want string) {
		d.problem(path, line, fmt.Sprintf("expected %s, found %s", want, describe(v.Value)))
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
		if kind != '0' || err != nil { // Literal.Float hides numbers out of range
			expected("a number")
			return
		}
		*p = n
	case *[]string:
		array, ok := v.Value.(*hujson.Array)
		if !ok {
			expected("an array of strings")
			return
		}
		list := make([]string, len(array.Elements))
		for i, element := range array.Elements {
			d.value(element, reflect.ValueOf(&list[i]).Elem(), path)
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
			d.value(member.Value, reflect.ValueOf(&value).Elem(), join(path, name))
			table[name] = value
		}
		*p = table
	default:
		object, ok := v.Value.(*hujson.Object)
		if !ok {
			expected("an object")
			return
		}
		d.object(object, target, path)
	}
}

func (d *decoder) object(object *hujson.Object, target reflect.Value, path string) {
	fields := map[string]int{}
	for i := range target.NumField() {
		fields[target.Type().Field(i).Tag.Get("json")] = i
	}
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		at, line := join(path, name), d.line(member.Name.StartOffset)
		i, known := fields[name]
		switch {
		case !known:
			d.report(at, line, unknownField(name, fields))
		case seen[name]:
			d.report(at, line, "expected the field once, found it again")
		default:
			d.value(member.Value, target.Field(i), at)
		}
		seen[name] = true
	}
}

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

// editDistance returns the Levenshtein distance in bytes. Longer names than the
// bound are compared by their beginning only.
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

// describe names a value of the file for a message.
func describe(v hujson.ValueTrimmed) string {
	switch v.Kind() {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		text := v.(hujson.Literal).String()
		if len(text) > maxShown {
			text = text[:maxShown] + "..."
		}
		return fmt.Sprintf("the string %q", text)
	case '0':
		return "the number " + string(v.(hujson.Literal)[:min(maxShown, len(v.(hujson.Literal)))])
	}
	return string(v.(hujson.Literal))
}
