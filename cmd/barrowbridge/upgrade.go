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
		Use: "upgrade", Short: "Rehearse a rolling upgrade from the production version and measure its cost", Args: cobra.NoArgs,
		Long: "Rehearse a rolling upgrade from the production version and measure its cost.\n\n" +
			"The production version is the commit that deploy/service.toml names; it is built from\n" +
			"the repository's own history. Each scenario runs once as an upgrade and once with this\n" +
			"version on both sides, and the results are compared.",
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
			return f.execute(cmd, p, run)
		},
	}
	f.common(cmd)
	cmd.Flags().BoolVar(&short, "short", false, "only the scenarios upgrade-roll, upgrade-hands and upgrade-chains, without comparison runs of a single version")
	cmd.Flags().BoolVar(&masks, "masks", false, "also cut each link between controllers and to the state service in turn, in both directions and in each alone")
	cmd.Flags().IntVar(&random, "random", 0, "number of additional upgrades with random faults, with seeds from --seed on")
	cmd.Flags().StringVar(&f.repo, "repo", ".", "a folder in a checkout of this repository with its history")
	cmd.Flags().StringVar(&f.commit, "commit", "", "upgrade from this commit instead of the production version")
	cmd.Flags().Uint64Var(&f.seed, "seed", 1, "first random seed, for the times of tasks, boots and reports")
	cmd.Flags().IntVar(&f.seeds, "seeds", 1, "number of seeds")
	cmd.Flags().StringVar(&f.out, "out", "", "folder for the results (default: a new temporary folder)")
	return cmd
}

// earlier builds the version to upgrade from in a temporary folder that is removed when the command ends, and
// returns the path of the program.
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

// upgrades returns the names of the scenarios to run, and the source text of those that are generated rather
// than read from a file.
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
