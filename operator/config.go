package operator

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"os"
	"slices"

	"github.com/arbutusmill/arbutusmill/fleet"
	"github.com/arbutusmill/arbutusmill/team"
)

type applyFlags struct {
	storeFlags
	file   string
	expect int64
	dryRun bool
}

func applyCommand() *command {
	a := &applyFlags{}
	return &command{
		name:     "apply",
		synopsis: "replace the configuration",
		usage: `apply [flags] -f FILE -expect GENERATION
Replaces the configuration if its generation is still the expected one (0 for the
first). If another operator has changed it, nothing is changed. -dry-run only checks.
Example: arbutusmill apply -f examples/brekke/fleet.yaml -expect 0
`,
		flags: func(f *flag.FlagSet) {
			a.flags(f)
			f.StringVar(&a.file, "f", "", "`file` with the whole configuration (YAML)")
			f.Int64Var(&a.expect, "expect", -1, "current `generation` that the file replaces")
			f.BoolVar(&a.dryRun, "dry-run", false, "check the file only")
		},
		run: a.run,
	}
}

func (a *applyFlags) run(ctx context.Context, args []string) error {
	if a.file == "" || len(args) > 0 {
		return usagef("-f FILE is required, and no other arguments are taken")
	}
	b, err := os.ReadFile(a.file)
	if err != nil {
		return usagef("-f: %v", err)
	}
	doc, err := fleet.Parse(b)
	if err != nil {
		return fleet.Error.New("%s: %w", a.file, err)
	}
	if a.dryRun {
		fmt.Printf("%s: ok\n", a.file)
		return nil
	}
	if a.expect < 0 {
		return usagef("-expect: the current generation is required (see preset list)")
	}
	ctx, cancel := withCommandTimeout(ctx)
	defer cancel()
	generation, err := a.registry().Apply(ctx, doc, a.expect, rand.Text())
	if err != nil {
		return err
	}
	fmt.Printf("generation %d is stored, preset %s\n", generation, doc.Preset)
	return nil
}

func presetCommand() *command {
	t := &storeFlags{}
	return &command{
		name:     "preset",
		synopsis: "list presets, or activate one",
		usage: `preset [flags] list|use NAME
Exactly one preset is active. Activating another one creates a new generation of the
configuration.
Example: arbutusmill preset use peak
`,
		flags: t.flags,
		run:   func(ctx context.Context, args []string) error { return runPreset(ctx, t, args) },
	}
}

func runPreset(ctx context.Context, t *storeFlags, args []string) error {
	ctx, cancel := withCommandTimeout(ctx)
	defer cancel()
	stored, err := t.registry().Get(ctx)
	if err != nil {
		return err
	}
	if stored.Document == nil {
		return fmt.Errorf("there is no configuration yet; see apply")
	}
	switch {
	case len(args) == 1 && args[0] == "list":
		listPresets(stored)
		return nil
	case len(args) == 2 && args[0] == "use":
		return usePreset(ctx, t, stored, args[1])
	}
	return usagef("expected list, or use and a preset's name")
}

func listPresets(s fleet.Stored) {
	fmt.Printf("generation %d\n", s.Generation)
	for _, p := range s.Document.Presets {
		mark := " "
		if p.Name == s.Document.Preset {
			mark = "*"
		}
		fmt.Printf("%s %s\n", mark, p.Name)
	}
}

func usePreset(ctx context.Context, t *storeFlags, s fleet.Stored, name string) error {
	if !slices.ContainsFunc(s.Document.Presets, func(p *fleet.Preset) bool { return p.Name == name }) {
		return usagef("there is no preset %q", name)
	}
	s.Document.Preset = name
	generation, err := t.registry().Apply(ctx, s.Document, s.Generation, rand.Text())
	if err != nil {
		return err
	}
	fmt.Printf("generation %d is stored, preset %s\n", generation, name)
	return nil
}

func teamCommand() *command {
	t := &storeFlags{}
	return &command{
		name:     "team",
		synopsis: "list teams, or generate a key for one",
		usage: `team [flags] list|key
  list  the teams, their budgets and the number of their keys
  key   print a new random key, once, and the hash to put into the configuration
Example: arbutusmill team key
`,
		flags: t.flags,
		run:   func(ctx context.Context, args []string) error { return runTeam(ctx, t, args) },
	}
}

func runTeam(ctx context.Context, t *storeFlags, args []string) error {
	if len(args) == 1 && args[0] == "key" {
		key := team.NewKey()
		fmt.Printf("key         %s\nkey_sha256  %s\n", key, team.HashKey(key))
		return nil
	}
	if len(args) != 1 || args[0] != "list" {
		return usagef("expected list or key")
	}
	return withDocument(ctx, t, func(d *fleet.Document) {
		for _, tm := range d.Teams {
			fmt.Printf("%s  keys %d  budgets %v\n", tm.Name, len(tm.Keys), tm.Budgets)
		}
	})
}

func serviceCommand() *command {
	t := &storeFlags{}
	return &command{
		name:     "service",
		synopsis: "list services",
		usage: `service [flags] list
Lists the services, their kind, models and price.
Example: arbutusmill service list
`,
		flags: t.flags,
		run: func(ctx context.Context, args []string) error {
			if len(args) != 1 || args[0] != "list" {
				return usagef("expected list")
			}
			return withDocument(ctx, t, func(d *fleet.Document) {
				for _, s := range d.Services {
					fmt.Printf("%s  %s  models %v  price %d tokens\n", s.Name, s.Kind, s.Models, s.PriceTokens)
				}
			})
		},
	}
}

func withDocument(ctx context.Context, t *storeFlags, show func(*fleet.Document)) error {
	ctx, cancel := withCommandTimeout(ctx)
	defer cancel()
	stored, err := t.registry().Get(ctx)
	if err != nil {
		return err
	}
	if stored.Document == nil {
		return fmt.Errorf("there is no configuration yet; see apply")
	}
	show(stored.Document)
	return nil
}
