package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"github.com/barrowbridge/barrowbridge/internal/rehearse"
)

func rehearseUpgrade() *cobra.Command {
	var f rehearseFlags
	var short, masks bool
	var random int
	cmd := &cobra.Command{
		Use: "upgrade", Short: "Roll controllers from the version in production to this one, and see what it costs", Args: cobra.NoArgs,
		Long: "Roll controllers from the version in production to this one, and see what it costs.\n\n" +
			"The version in production is the commit that deploy/service.toml names; it is built from\n" +
			"the repository's own history. Each scenario is run as an upgrade and once more with this\n" +
			"version on both sides, and both are put side by side.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if f.seeds < 1 || f.seeds > 1000 || f.jobs < 1 || f.jobs > 64 || random < 0 || random > 1000 {
				return fmt.Errorf("--seeds must be from 1 to 1000, --jobs from 1 to 64 and --random from 0 to 1000")
			}
			if f.out == "" {
				f.out = filepath.Join(os.TempDir(), "barrowbridge-upgrade-"+time.Now().Format("20060102-150405"))
			}
			p := f.plan(cmd)
			var err error
			if p.Names, p.Sources, err = upgrades(short, masks, f.seed, random); err != nil {
				return err
			}
			for i := range f.seeds {
				p.Seeds = append(p.Seeds, f.seed+uint64(i))
			}
			run := func(ctx context.Context, p rehearse.Plan) ([]rehearse.Result, error) {
				results, err := rehearse.Run(ctx, p)
				if err != nil {
					return nil, err
				}
				costs := rehearse.RollCosts(results)
				b, err := json.MarshalIndent(costs, "", "  ")
				if err != nil {
					return nil, err
				}
				fmt.Fprint(cmd.ErrOrStderr(), rehearse.RollTable(costs))
				return results, os.WriteFile(filepath.Join(p.Dir, "upgrade.json"), append(b, '\n'), 0o644)
			}
			return f.carryOut(cmd, p, run)
		},
	}
	f.common(cmd)
	cmd.Flags().BoolVar(&short, "short", false, "the plain roll, the one that changes hands and the one with chains and lowered limits, not beside rolls of one version")
	cmd.Flags().BoolVar(&masks, "masks", false, "also each link between controllers and to the state service cut in turn, both ways and in either direction")
	cmd.Flags().IntVar(&random, "random", 0, "also so many upgrades with troubles drawn from seeds, from --seed on")
	cmd.Flags().StringVar(&f.repo, "repo", ".", "a folder in a checkout of this program with its history")
	cmd.Flags().StringVar(&f.commit, "commit", "", "begin with this commit instead of the one in production")
	cmd.Flags().Uint64Var(&f.seed, "seed", 1, "first seed of what is random: times of tasks, boots and reports")
	cmd.Flags().IntVar(&f.seeds, "seeds", 1, "how many seeds")
	cmd.Flags().StringVar(&f.out, "out", "", "folder for the results (default: a new one among the temporary files)")
	return cmd
}

// earlier builds the version that an upgrade begins with, in a folder that goes with this process.
func (f *rehearseFlags) earlier(ctx context.Context) (string, error) {
	root, commit, err := rehearse.Production(f.repo)
	if err != nil {
		return "", err
	}
	if f.commit != "" {
		commit = f.commit
	}
	if f.build, err = os.MkdirTemp("", "barrowbridge-earlier-"); err != nil {
		return "", err
	}
	return rehearse.BuildCommit(ctx, root, commit, f.build)
}

// upgrades are the scenarios to run: those that stand in no file with their text.
func upgrades(short, masks bool, seed uint64, random int) (names []string, sources map[string]string, err error) {
	sources = map[string]string{}
	add := func(name, source string, err error) error {
		names, sources[name] = append(names, name), source
		return err
	}
	if names = []string{"upgrade-roll", "upgrade-hands", "upgrade-chains"}; !short {
		names = rehearse.UpgradeNames()
		for _, n := range rehearse.UpgradeNames() {
			if err := add(rehearse.Alike(n)); err != nil {
				return nil, nil, err
			}
		}
	}
	if masks {
		for _, m := range rehearse.Masks() {
			if err := add(rehearse.Masked(m)); err != nil {
				return nil, nil, err
			}
		}
	}
	for k := range random {
		if err := add(rehearse.Random(seed + uint64(k))); err != nil {
			return nil, nil, err
		}
	}
	return names, sources, nil
}
