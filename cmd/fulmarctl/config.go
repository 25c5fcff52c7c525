package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/fulmarbeam/fulmarbeam/pkg/operator"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

func newConfig(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Read and edit the fleet's configuration", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() }}
	cmd.AddCommand(newConfigGet(o), newConfigCheck(o), newConfigPublish(o), newConfigHistory(o), newConfigStatus(o))
	return cmd
}

func newConfigGet(o *options) *cobra.Command {
	var section, file string
	cmd := &cobra.Command{
		Use:   "get",
		Short: "Show the configuration in effect, or write one section to a file",
		Long: "Get shows the sections in effect on one VM. With --file it writes one section to a file. The first line of\n" +
			"the file holds the revision, so that publish detects changes made in the meantime.",
		Example: "  fulmarctl config get\n  fulmarctl config get --section payments --file payments.jsonc",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if file != "" && section == "" {
				return result.Errorf(result.UsageError, "--file requires --section")
			}
			view, err := withClient(cmd, o, func(ctx context.Context, c *operator.Client) (operator.ConfigView, error) {
				return c.Config(ctx, section)
			})
			if err != nil {
				return err
			}
			s, ok := view.Sections[section]
			if section != "" && !ok {
				return result.Errorf(result.NotFound, "section %s does not exist", section)
			}
			if file != "" {
				return writeSection(file, section, s)
			}
			if section != "" && o.output == outputTable {
				data, err := formatSection(section, s)
				if err == nil {
					_, err = cmd.OutOrStdout().Write(data)
				}
				return err
			}
			return o.show(cmd, view, func() table { return configTable(view) })
		},
	}
	cmd.Flags().StringVar(&section, "section", "", "only this section")
	cmd.Flags().StringVar(&file, "file", "", "file to write the section to")
	completeSections(cmd, o)
	return cmd
}

func writeSection(file, section string, s operator.SectionView) error {
	data, err := formatSection(section, s)
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, data, 0o644); err != nil {
		return result.Errorf(result.UsageError, "%v", err)
	}
	return nil
}

func configTable(view operator.ConfigView) table {
	t := table{head: []string{"SECTION", "REVISION", "TEAM", "LAST EDIT", "HASH"}}
	names := make([]string, 0, len(view.Sections))
	for name := range view.Sections {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		s := view.Sections[name]
		t.addRow(name, str(s.Revision), s.Team, s.LastEditID, s.Hash)
	}
	t.note = fmt.Sprintf("VM %s, %d accepted edits, log offset %d", view.VM, view.Revision, view.Offset)
	if view.Behind {
		t.note += ", behind the log"
	}
	return t
}

// completeSections registers the fleet's sections for the shell completion of --section.
func completeSections(cmd *cobra.Command, o *options) {
	_ = cmd.RegisterFlagCompletionFunc("section", func(cmd *cobra.Command, _ []string, _ string) ([]string, cobra.ShellCompDirective) {
		const completionTimeout = 2 * time.Second
		o.timeout, o.tryTimeout = completionTimeout, completionTimeout
		view, err := withClient(cmd, o, func(ctx context.Context, c *operator.Client) (operator.ConfigView, error) {
			return c.Config(ctx, "")
		})
		if err != nil {
			return nil, cobra.ShellCompDirectiveError
		}
		var names []string
		for name := range view.Sections {
			names = append(names, name)
		}
		return names, cobra.ShellCompDirectiveNoFileComp
	})
}

func (f *editFlags) register(cmd *cobra.Command, o *options) {
	flags := cmd.Flags()
	flags.StringVar(&f.section, "section", "", "section to edit; default: the section in the first line of the file")
	flags.StringVar(&f.file, "file", "", "file with the whole section (JSON with comments)")
	flags.StringVar(&f.patch, "patch", "", "file with a merge patch of the section (RFC 7386, JSON with comments)")
	flags.StringVar(&f.key, "key", "", "key file of the team")
	flags.Int64Var(&f.base, "base", -1, "revision that the edit is based on; default: the revision in the first line of the file")
	flags.BoolVar(&f.useCurrent, "base-current", false, "base the edit on the current revision and ignore the one in the file")
	cmd.MarkFlagsMutuallyExclusive("file", "patch")
	cmd.MarkFlagsMutuallyExclusive("base", "base-current")
	completeSections(cmd, o)
}

func newConfigCheck(o *options) *cobra.Command {
	var f editFlags
	cmd := &cobra.Command{
		Use:     "check",
		Short:   "Validate an edit without publishing it",
		Example: "  fulmarctl config check --file payments.jsonc --key payments.key",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			v, err := withClient(cmd, o, func(ctx context.Context, c *operator.Client) (operator.Verdict, error) {
				edit, err := f.prepare(ctx, c)
				if err != nil {
					return operator.Verdict{}, err
				}
				if edit == nil {
					return operator.NewVerdict(result.OK, "the section would not change"), nil
				}
				return c.Check(ctx, edit.signed)
			})
			return o.showVerdict(cmd, v, err)
		},
	}
	f.register(cmd, o)
	cmd.MarkFlagsOneRequired("file", "patch")
	return cmd
}

func newConfigPublish(o *options) *cobra.Command {
	var f editFlags
	var editFile, saveFile, wait string
	var waitTime time.Duration
	cmd := &cobra.Command{
		Use:   "publish",
		Short: "Sign an edit, append it to the log and wait until it is in effect",
		Long: "Publish computes the merge patch from the section in effect to the file, signs it and appends it to the\n" +
			"log. If the outcome is unknown, it prints the edit's id for use with config status. An edit saved with\n" +
			"--save can be sent again with --edit and takes effect at most once.",
		Example: "  fulmarctl config publish --file payments.jsonc --key payments.key\n" +
			"  fulmarctl config publish --section payments --patch slots.json --key payments.key --wait accepted\n" +
			"  fulmarctl config publish --edit saved-edit.json",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if waitTime <= 0 || waitTime > operator.MaxPublishWait {
				return result.Errorf(result.UsageError, "--wait-time must be positive and at most %s", operator.MaxPublishWait)
			}
			o.tryTimeout = max(o.tryTimeout, waitTime+publishResponseMargin)
			o.timeout = max(o.timeout, 2*o.tryTimeout)
			req := operator.PublishRequest{Wait: operator.WaitMode(wait), Timeout: operator.Millis(waitTime.Milliseconds())}
			v, err := withClient(cmd, o, func(ctx context.Context, c *operator.Client) (operator.Verdict, error) {
				return f.publish(ctx, c, req, editFile, saveFile)
			})
			return o.showVerdict(cmd, v, err)
		},
	}
	f.register(cmd, o)
	cmd.Flags().StringVar(&editFile, "edit", "", "file with a signed edit to send instead of a section or patch")
	cmd.Flags().StringVar(&saveFile, "save", "", "file to write the signed edit to before sending it")
	cmd.Flags().StringVar(&wait, "wait", string(operator.WaitApplied), "what to wait for: none, accepted (verdict known) or applied (in effect on every listed VM)")
	cmd.Flags().DurationVar(&waitTime, "wait-time", operator.DefaultPublishWait, "maximum time to wait")
	cmd.MarkFlagsOneRequired("file", "patch", "edit")
	cmd.MarkFlagsMutuallyExclusive("file", "edit")
	cmd.MarkFlagsMutuallyExclusive("patch", "edit")
	completeWith(cmd, "wait", string(operator.WaitNone), string(operator.WaitAccepted), string(operator.WaitApplied))
	return cmd
}

// publish sends the signed edit in editFile or, if editFile is empty, an edit made from
// the flags. If saveFile is set, it writes the edit to that file first.
func (f *editFlags) publish(ctx context.Context, c *operator.Client, req operator.PublishRequest, editFile, saveFile string) (operator.Verdict, error) {
	id := ""
	if editFile != "" {
		input, err := readInputFile(editFile)
		if err != nil {
			return operator.Verdict{}, err
		}
		req.Edit = input.data
		var edit struct {
			ID string `json:"id"`
		}
		if json.Unmarshal(input.data, &edit) == nil {
			id = edit.ID
		}
	} else {
		edit, err := f.prepare(ctx, c)
		if err != nil {
			return operator.Verdict{}, err
		}
		if edit == nil {
			return operator.NewVerdict(result.OK, "the section would not change, nothing was published"), nil
		}
		req.Edit, id = edit.signed, edit.id
	}
	if saveFile != "" {
		if err := os.WriteFile(saveFile, append(slices.Clone(req.Edit), '\n'), 0o644); err != nil {
			return operator.Verdict{}, result.Errorf(result.UsageError, "%v", err)
		}
	}
	v, err := c.Publish(ctx, req)
	if err != nil && toResultError(err).Code == result.ConfigUnknown {
		return v, result.Errorf(result.ConfigUnknown, "%s; check with: fulmarctl config status %s", toResultError(err).Detail, id)
	}
	return v, err
}

// showVerdict prints a verdict. It returns an error if the verdict's code has an exit
// code other than 0.
func (o *options) showVerdict(cmd *cobra.Command, v operator.Verdict, err error) error {
	if err != nil {
		return err
	}
	if err := o.show(cmd, v, func() table { return verdictTable(v) }); err != nil {
		return err
	}
	if v.Code.Info().ExitCode != 0 {
		return result.Errorf(v.Code, "%s", v.Detail)
	}
	return nil
}

func verdictTable(v operator.Verdict) table {
	t := table{head: []string{"RESULT", "CODE", "SECTION", "REVISION", "EDIT", "OFFSET", "APPLIED"}}
	applied := ""
	if v.Listed > 0 {
		applied = fmt.Sprintf("%d of %d VMs", v.Applied, v.Listed)
	}
	t.addRow(v.Name, str(int(v.Code)), v.Section, str(v.Revision), v.EditID, str(v.Offset), applied)
	var notes []string
	if v.Detail != "" {
		notes = append(notes, sanitize(v.Detail))
	}
	for _, p := range v.Problems {
		notes = append(notes, sanitize(p))
	}
	if len(v.Lagging) > 0 {
		notes = append(notes, fmt.Sprintf("not applied by: %v", v.Lagging))
	}
	t.note = strings.Join(notes, "\n")
	return t
}

func newConfigHistory(o *options) *cobra.Command {
	var q operator.HistoryQuery
	cmd := &cobra.Command{
		Use:     "history",
		Short:   "Show the newest edits and their verdicts",
		Example: "  fulmarctl config history --section payments --limit 20",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			entries, err := withClient(cmd, o, func(ctx context.Context, c *operator.Client) ([]operator.HistoryEntry, error) {
				return c.History(ctx, q)
			})
			if err != nil {
				return err
			}
			return o.show(cmd, entries, func() table {
				t := table{head: []string{"OFFSET", "TIME", "SECTION", "REVISION", "TEAM", "RESULT", "EDIT"}}
				for _, e := range entries {
					t.addRow(str(e.Offset), formatTime(e.ReadAt), e.Section, str(e.Revision), e.Team, e.Name, e.EditID)
				}
				return t
			})
		},
	}
	cmd.Flags().StringVar(&q.Section, "section", "", "only this section")
	cmd.Flags().StringVar(&q.Team, "team", "", "only edits of this team")
	cmd.Flags().IntVar(&q.Limit, "limit", operator.DefaultHistoryLimit, "maximum number of edits")
	completeSections(cmd, o)
	return cmd
}

func newConfigStatus(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "status EDIT",
		Short:   "Show the state of an edit",
		Example: "  fulmarctl config status 0198c0de-5a1d-4c3e-9c11-0d3b5a7e9f00",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := withClient(cmd, o, func(ctx context.Context, c *operator.Client) (operator.EditStatus, error) {
				return c.EditStatus(ctx, args[0])
			})
			if err != nil {
				return err
			}
			if !s.Known {
				return result.Errorf(result.ConfigUnknown, "no record of edit %s has been read yet", args[0])
			}
			return o.showVerdict(cmd, s.Verdict, nil)
		},
	}
}
