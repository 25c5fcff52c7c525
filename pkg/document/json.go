package document

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// MaxDocumentBytes bounds the size of a whole document in JSON. A document with 490,000 workspaces
// takes about 25 MB.
const MaxDocumentBytes = 64 << 20

// Problem is one validation error of a document.
type Problem struct {
	Path    string `json:"path"` // as in sections.payments.routes.pay.path
	Message string `json:"message"`
}

// String returns the path and the message.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Message
	}
	return p.Path + ": " + p.Message
}

// Problems is a list of validation errors, sorted by path.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Code returns the result code of an invalid document.
func (p Problems) Code() result.Code { return result.ConfigInvalid }

func (p *Problems) addf(path, format string, args ...any) {
	*p = append(*p, Problem{path, fmt.Sprintf(format, args...)})
}

func (p *Problems) sort() {
	slices.SortFunc(*p, func(a, b Problem) int {
		if c := strings.Compare(a.Path, b.Path); c != 0 {
			return c
		}
		return strings.Compare(a.Message, b.Message)
	})
	*p = slices.Compact(*p)
}

// errorOrNil returns the problems as an error, or nil when there are none.
func (p Problems) errorOrNil() error {
	if len(p) == 0 {
		return nil
	}
	p.sort()
	return p
}

// MarshalJSON encodes the duration as a string such as "250ms".
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON decodes a string such as "250ms".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("a duration is a string such as \"250ms\"")
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"250ms\"", text)
	}
	*d = Duration(v)
	return nil
}

// Parse decodes a document in standard JSON. Field names must match exactly and must not
// repeat. The error has type Problems and lists all unknown and repeated fields.
func Parse(data []byte) (*Document, error) {
	if len(data) > MaxDocumentBytes {
		return nil, Problems{{"", fmt.Sprintf("document of %d bytes exceeds %d", len(data), MaxDocumentBytes)}}
	}
	doc := new(Document)
	if err := strictDecode(data, "", doc); err != nil {
		return nil, err
	}
	return doc, nil
}

// ParseFile decodes a document in the form that operators write: JSON with comments and
// trailing commas.
func ParseFile(data []byte) (*Document, error) {
	standard, err := Standardize(data)
	if err != nil {
		return nil, err
	}
	return Parse(standard)
}

// Standardize converts JSON with comments and trailing commas to standard JSON.
func Standardize(data []byte) ([]byte, error) {
	if len(data) > MaxDocumentBytes {
		return nil, Problems{{"", fmt.Sprintf("file of %d bytes exceeds %d", len(data), MaxDocumentBytes)}}
	}
	standard, err := hujson.Standardize(slices.Clone(data))
	if err != nil {
		return nil, Problems{{"", err.Error()}}
	}
	return standard, nil
}

// ParseRoot decodes the content of the section "fleet" in standard JSON. The error has type
// Problems.
func ParseRoot(data []byte) (Root, error) {
	var root Root
	err := strictDecode(data, RootSection, &root)
	return root, err
}

// ParseSection decodes the content of one section in standard JSON. The error has type
// Problems.
func ParseSection(name string, data []byte) (Section, error) {
	var section Section
	err := strictDecode(data, "sections."+name, &section)
	return section, err
}

// strictDecode decodes standard JSON into out. encoding/json matches names without regard
// to case and uses the last of repeated names. Both would make a patch ambiguous, so the
// names are first checked on the syntax tree.
func strictDecode(data []byte, path string, out any) error {
	// json.Valid also limits the nesting depth, which the recursive parser below does
	// not.
	if !json.Valid(data) {
		return Problems{{path, "not valid JSON"}}
	}
	tree, err := hujson.Parse(data)
	if err != nil {
		return Problems{{path, err.Error()}}
	}
	var problems Problems
	checkFieldNames(&problems, tree.Value, reflect.TypeOf(out).Elem(), path)
	if len(problems) > 0 {
		return problems.errorOrNil()
	}
	if err := json.Unmarshal(data, out); err != nil {
		return Problems{{path, decodeErrorMessage(err)}}
	}
	return nil
}

func decodeErrorMessage(err error) string {
	if e, ok := err.(*json.UnmarshalTypeError); ok {
		return fmt.Sprintf("%s: want %s, got %s", e.Field, kindName(e.Type), e.Value)
	}
	return err.Error()
}

func kindName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.Int, reflect.Int64:
		return "an integer"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	}
	return "a string"
}

// structFields holds the type of each field by the struct's type and the field's JSON name.
var structFields = map[reflect.Type]map[string]reflect.Type{}

func init() {
	for _, v := range []any{Document{}, Root{}, Team{}, Section{}, Service{}, Floor{}, Route{}, Workspace{}, Quota{}} {
		t := reflect.TypeOf(v)
		fields := make(map[string]reflect.Type, t.NumField())
		for i := range t.NumField() {
			name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
			fields[name] = t.Field(i).Type
		}
		structFields[t] = fields
	}
}

// checkFieldNames reports unknown and repeated names in JSON that is to be decoded as type t.
// It does not check the elements of arrays.
func checkFieldNames(problems *Problems, value hujson.ValueTrimmed, t reflect.Type, path string) {
	object, ok := value.(*hujson.Object)
	if !ok {
		if t.Kind() == reflect.Struct || t.Kind() == reflect.Map {
			problems.addf(path, "want an object")
		}
		return
	}
	var fields map[string]reflect.Type
	switch t.Kind() {
	case reflect.Struct:
		fields = structFields[t]
	case reflect.Map:
	default:
		problems.addf(path, "want %s, got an object", kindName(t))
		return
	}
	seen := make(map[string]struct{}, len(object.Members))
	for i := range object.Members {
		literal, _ := object.Members[i].Name.Value.(hujson.Literal)
		name := literal.String()
		if _, repeated := seen[name]; repeated {
			problems.addf(joinPath(path, name), "repeated")
		}
		seen[name] = struct{}{}
		child, known := fields[name], true
		if t.Kind() == reflect.Map {
			child = t.Elem()
		} else {
			_, known = fields[name]
		}
		if !known {
			problems.addf(joinPath(path, name), "unknown field")
			continue
		}
		if k := child.Kind(); k == reflect.Struct || k == reflect.Map {
			checkFieldNames(problems, object.Members[i].Value.Value, child, joinPath(path, name))
		}
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// shallowClone returns a copy of the document with its own map of sections. The sections'
// maps are shared, as they are never modified in place.
func (d *Document) shallowClone() *Document {
	out := &Document{Format: d.Format, Root: d.Root, Sections: make(map[string]Section, len(d.Sections))}
	for name, s := range d.Sections {
		out.Sections[name] = s
	}
	return out
}

// WithSection returns a copy of the document with one section replaced.
func (d *Document) WithSection(name string, section Section) *Document {
	out := d.shallowClone()
	out.Sections[name] = section
	return out
}

// WithRoot returns a copy of the document with the section "fleet" replaced.
func (d *Document) WithRoot(root Root) *Document {
	out := d.shallowClone()
	out.Root = root
	return out
}

// keyRegions returns the regions that hold keys of requests without a workspace. They
// are sorted, so that their order in the document has no effect.
func (r Root) keyRegions() []fleet.Region {
	out := slices.Clone(r.Regions)
	if r.KeyRegions > 0 {
		out = out[:min(r.KeyRegions, len(out))]
	}
	slices.Sort(out)
	return out
}
