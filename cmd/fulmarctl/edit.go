package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strconv"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/google/uuid"
	"github.com/tailscale/hujson"

	"github.com/fulmarbeam/fulmarbeam/pkg/operator"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// maxFile bounds a section or patch file.
const maxFile = operator.MaxBody

// baseComment is the first line of a section file. It keeps the revision that the
// file was read at: a patch computed against a later revision would undo what
// others published in between.
var baseComment = regexp.MustCompile(`^// section ([^\s,]+), revision ([0-9]+)\n`)

// sectionFile returns a section as an editable file.
func sectionFile(name string, s operator.SectionView) ([]byte, error) {
	var out bytes.Buffer
	fmt.Fprintf(&out, "// section %s, revision %d\n", name, s.Revision)
	if err := json.Indent(&out, s.Content, "", "  "); err != nil {
		return nil, result.Errorf(result.Internal, "section %s: %v", name, err)
	}
	out.WriteByte('\n')
	return out.Bytes(), nil
}

// source is a section file or a patch file.
type source struct {
	data    json.RawMessage // standard JSON
	section string          // from the first line; empty without it
	base    uint64
}

func readSource(path string) (source, error) {
	info, err := os.Stat(path)
	if err != nil {
		return source{}, result.Errorf(result.UsageError, "%v", err)
	}
	if info.Size() > maxFile {
		return source{}, result.Errorf(result.ConfigTooLarge, "%s exceeds %d bytes", path, maxFile)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return source{}, result.Errorf(result.UsageError, "%v", err)
	}
	return parseSource(path, data)
}

func parseSource(path string, data []byte) (source, error) {
	var s source
	if m := baseComment.FindSubmatch(data); m != nil {
		base, err := strconv.ParseUint(string(m[2]), 10, 64)
		if err != nil {
			return s, result.Errorf(result.ConfigBadForm, "%s: the revision in the first line is too large", path)
		}
		s.section, s.base = string(m[1]), base
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return s, result.Errorf(result.ConfigBadForm, "%s: %v", path, err)
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, standard); err != nil {
		return s, result.Errorf(result.ConfigBadForm, "%s: %v", path, err)
	}
	if s.data = compact.Bytes(); len(s.data) == 0 || s.data[0] != '{' {
		return s, result.Errorf(result.ConfigBadForm, "%s: a JSON object is expected", path)
	}
	return s, nil
}

// mergePatch returns the patch that turns current into wanted.
func mergePatch(current, wanted json.RawMessage) (json.RawMessage, error) {
	patch, err := jsonpatch.CreateMergePatch(current, wanted)
	if err != nil {
		return nil, result.Errorf(result.ConfigBadForm, "patch: %v", err)
	}
	// A merge patch cannot set a member to null; it would remove it.
	patched, err := jsonpatch.MergePatch(current, patch)
	if err != nil {
		return nil, result.Errorf(result.ConfigBadForm, "patch: %v", err)
	}
	if !jsonpatch.Equal(patched, wanted) {
		return nil, result.Errorf(result.ConfigBadForm, "the section cannot be expressed as a merge patch; null values are not allowed")
	}
	return patch, nil
}

// editFlags say which edit is made.
type editFlags struct {
	section string
	file    string // the whole section
	patch   string // a merge patch
	key     string
	base    int64 // -1: from the file's first line, or the current one with a patch
	current bool  // accept the current revision as base of a section file
}

// preparedEdit is an edit that is ready to be sent.
type preparedEdit struct {
	id      string
	section string
	patch   json.RawMessage
	signed  json.RawMessage
}

// prepare reads the section in force, makes the patch and signs the edit. The edit
// is nil when the section would not change.
func (f *editFlags) prepare(ctx context.Context, c *operator.Client) (*preparedEdit, error) {
	path := f.file
	if path == "" {
		path = f.patch
	}
	src, err := readSource(path)
	if err != nil {
		return nil, err
	}
	section := f.section
	if section == "" {
		section = src.section
	}
	if section == "" {
		return nil, result.Errorf(result.UsageError, "--section is missing")
	}
	if src.section != "" && src.section != section {
		return nil, result.Errorf(result.UsageError, "%s holds section %s, not %s", path, src.section, section)
	}
	key, err := readTeamKey(f.key)
	if err != nil {
		return nil, err
	}
	view, err := c.Config(ctx, section)
	if codedOK := result.NotFound; err != nil && codedError(err).Code != codedOK {
		return nil, err
	}
	now, ok := view.Sections[section]
	if !ok {
		now.Content = json.RawMessage(`{}`) // a new section starts empty at revision 0
	}
	if err := f.checkBase(src, now.Revision, section); err != nil {
		return nil, err
	}
	patch := src.data
	if f.file != "" {
		if patch, err = mergePatch(now.Content, src.data); err != nil {
			return nil, err
		}
	}
	if string(patch) == "{}" {
		return nil, nil
	}
	id := uuid.NewString()
	signed, err := signEdit(editInput{
		ID: id, Stream: view.Stream, Section: section, Base: now.Revision,
		Current: now.Content, Patch: patch, Key: key,
	})
	if err != nil {
		return nil, err
	}
	return &preparedEdit{id, section, patch, signed}, nil
}

// checkBase refuses an edit that was made from another revision than the current one.
func (f *editFlags) checkBase(src source, current uint64, section string) error {
	base, known := current, f.patch != "" || f.current
	if src.section != "" && !f.current {
		base, known = src.base, true
	}
	if f.base >= 0 {
		base, known = uint64(f.base), true
	}
	if !known {
		return result.Errorf(result.UsageError, "the file does not say which revision it was made from: "+
			"get it with fulmarctl config get --section %s --file FILE, or give --base", section)
	}
	if base != current {
		return result.Errorf(result.ConfigConflict, "the edit is made from revision %d of section %s, the current one is %d; "+
			"get the section again and repeat the change", base, section, current)
	}
	return nil
}
