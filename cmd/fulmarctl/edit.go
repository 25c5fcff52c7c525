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

// maxFileBytes limits the size of section, patch and edit files.
const maxFileBytes = operator.MaxBodyBytes

// baseRevisionLine matches the first line of a section file, which holds the revision
// that was written to the file. A patch computed against a later revision would undo
// edits that others published in the meantime.
var baseRevisionLine = regexp.MustCompile(`^// section ([^\s,]+), revision ([0-9]+)\n`)

// formatSection returns the content of an editable file for a section.
func formatSection(name string, s operator.SectionView) ([]byte, error) {
	var out bytes.Buffer
	fmt.Fprintf(&out, "// section %s, revision %d\n", name, s.Revision)
	if err := json.Indent(&out, s.Content, "", "  "); err != nil {
		return nil, result.Errorf(result.Internal, "section %s: %v", name, err)
	}
	out.WriteByte('\n')
	return out.Bytes(), nil
}

// inputFile is the content of a section, patch or edit file.
type inputFile struct {
	data    json.RawMessage // standard JSON
	section string          // from the first line; empty if the line is missing
	base    uint64          // revision from the first line
}

func readInputFile(path string) (inputFile, error) {
	info, err := os.Stat(path)
	if err != nil {
		return inputFile{}, result.Errorf(result.UsageError, "%v", err)
	}
	if info.Size() > maxFileBytes {
		return inputFile{}, result.Errorf(result.ConfigTooLarge, "%s exceeds %d bytes", path, maxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return inputFile{}, result.Errorf(result.UsageError, "%v", err)
	}
	return parseInputFile(path, data)
}

func parseInputFile(path string, data []byte) (inputFile, error) {
	var input inputFile
	if m := baseRevisionLine.FindSubmatch(data); m != nil {
		base, err := strconv.ParseUint(string(m[2]), 10, 64)
		if err != nil {
			return input, result.Errorf(result.ConfigBadForm, "%s: the revision in the first line is out of range", path)
		}
		input.section, input.base = string(m[1]), base
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return input, result.Errorf(result.ConfigBadForm, "%s: %v", path, err)
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, standard); err != nil {
		return input, result.Errorf(result.ConfigBadForm, "%s: %v", path, err)
	}
	if input.data = compact.Bytes(); len(input.data) == 0 || input.data[0] != '{' {
		return input, result.Errorf(result.ConfigBadForm, "%s: expected a JSON object", path)
	}
	return input, nil
}

// mergePatch returns the merge patch from current to wanted.
func mergePatch(current, wanted json.RawMessage) (json.RawMessage, error) {
	patch, err := jsonpatch.CreateMergePatch(current, wanted)
	if err != nil {
		return nil, result.Errorf(result.ConfigBadForm, "merge patch: %v", err)
	}
	// A merge patch cannot set a member to null: null removes the member.
	patched, err := jsonpatch.MergePatch(current, patch)
	if err != nil {
		return nil, result.Errorf(result.ConfigBadForm, "merge patch: %v", err)
	}
	if !jsonpatch.Equal(patched, wanted) {
		return nil, result.Errorf(result.ConfigBadForm, "the section cannot be expressed as a merge patch; null values are not allowed")
	}
	return patch, nil
}

// editFlags holds the flags that specify an edit.
type editFlags struct {
	section    string // name of the section; empty: the one in the first line of the file
	file       string // path of a file with the whole section
	patch      string // path of a file with a merge patch
	key        string // path of the team's key file
	base       int64  // -1: revision in the first line of the file, or the current revision for a patch
	useCurrent bool   // use the current revision as the base and ignore the one in the file
}

// preparedEdit is a signed edit that is ready to be sent.
type preparedEdit struct {
	id      string
	section string
	patch   json.RawMessage
	signed  json.RawMessage
}

// prepare reads the section in effect, computes the patch and signs the edit. It returns
// nil if the section would not change.
func (f *editFlags) prepare(ctx context.Context, c *operator.Client) (*preparedEdit, error) {
	path := f.file
	if path == "" {
		path = f.patch
	}
	input, err := readInputFile(path)
	if err != nil {
		return nil, err
	}
	section := f.section
	if section == "" {
		section = input.section
	}
	if section == "" {
		return nil, result.Errorf(result.UsageError, "--section is required, because the file does not name a section")
	}
	if input.section != "" && input.section != section {
		return nil, result.Errorf(result.UsageError, "%s contains section %s, not %s", path, input.section, section)
	}
	key, err := readTeamKey(f.key)
	if err != nil {
		return nil, err
	}
	view, err := c.Config(ctx, section)
	if notFound := result.NotFound; err != nil && toResultError(err).Code != notFound {
		return nil, err
	}
	current, ok := view.Sections[section]
	if !ok {
		current.Content = json.RawMessage(`{}`) // a new section is empty and has revision 0
	}
	if err := f.checkBase(input, current.Revision, section); err != nil {
		return nil, err
	}
	patch := input.data
	if f.file != "" {
		if patch, err = mergePatch(current.Content, input.data); err != nil {
			return nil, err
		}
	}
	if string(patch) == "{}" {
		return nil, nil
	}
	id := uuid.NewString()
	signed, err := signEdit(editInput{
		ID: id, Stream: view.Stream, Section: section, Base: current.Revision,
		Current: current.Content, Patch: patch, Key: key,
	})
	if err != nil {
		return nil, err
	}
	return &preparedEdit{id, section, patch, signed}, nil
}

// checkBase returns an error if the edit is not based on the current revision.
func (f *editFlags) checkBase(input inputFile, current uint64, section string) error {
	base, baseKnown := current, f.patch != "" || f.useCurrent
	if input.section != "" && !f.useCurrent {
		base, baseKnown = input.base, true
	}
	if f.base >= 0 {
		base, baseKnown = uint64(f.base), true
	}
	if !baseKnown {
		return result.Errorf(result.UsageError, "the file does not contain the revision that it is based on: "+
			"get the file with fulmarctl config get --section %s --file FILE, or set --base", section)
	}
	if base != current {
		return result.Errorf(result.ConfigConflict, "the edit is based on revision %d of section %s, but the current revision is %d; "+
			"get the section again and repeat the change", base, section, current)
	}
	return nil
}
