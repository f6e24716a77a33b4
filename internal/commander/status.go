package commander

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cuminstream/cuminstream/internal/operator"
)

const statusHelp = `Shows the state of all VMs: the revision in force, groups with their holders,
upstreams with their state, refusals by kind, and VMs that did not answer.`

type statusFlags struct {
	operatorFlags
}

func statusEntry() entry {
	return entry{
		name: "status", summary: "show the state of all VMs, groups and upstreams",
		usage: func(output io.Writer) { printUsage("status", statusHelp, &statusFlags{}, output) },
		parse: func(arguments []string, streams streams) (operation, error) {
			var flags statusFlags
			err := parseFlags("status", statusHelp, &flags, arguments, streams)
			return newStatus(flags), err
		},
	}
}

type status struct{ flags statusFlags }

func newStatus(flags statusFlags) *status { return &status{flags: flags} }

func (status *status) run(ctx context.Context, streams streams) error {
	var fleet operator.Fleet
	if err := status.flags.getJSON(ctx, "/status", url.Values{"scope": {"fleet"}}, &fleet); err != nil {
		return err
	}
	if status.flags.JSON {
		return printJSON(streams.stdout, fleet)
	}
	slices.SortFunc(fleet.VMs, func(a, b operator.Status) int { return strings.Compare(a.VM, b.VM) })
	table := tabwriter.NewWriter(streams.stdout, 0, 0, 2, ' ', 0)
	printVMs(table, fleet)
	printGroups(table, fleet)
	printUpstreams(table, fleet)
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print the status: %w", err)
	}
	if len(fleet.Unreachable) > 0 {
		fmt.Fprintf(streams.stdout, "no answer from: %s\n", strings.Join(fleet.Unreachable, ", "))
	}
	return nil
}

func printVMs(output io.Writer, fleet operator.Fleet) {
	fmt.Fprintln(output, "VM\tZONE\tREVISION\tPLATFORM\tSTATE\tREFUSALS")
	for _, vm := range fleet.VMs {
		state := "serving"
		if vm.Stopping {
			state = "stopping"
		}
		var refusals []string
		for _, kind := range slices.Sorted(maps.Keys(vm.Refusals)) {
			refusals = append(refusals, fmt.Sprintf("%s=%.0f", kind, vm.Refusals[kind]))
		}
		fmt.Fprintf(output, "%s\t%s\t%d\t%s\t%s\t%s\n", vm.VM, vm.Zone, vm.Revision, vm.Platform, state, strings.Join(refusals, " "))
	}
}

// printGroups prints each group once, as reported by the VM that holds it.
func printGroups(output io.Writer, fleet operator.Fleet) {
	fmt.Fprintln(output, "\nGROUP\tHOLDER\tTERM\tSHARDS\tCANDIDATES")
	forEachHeldGroup(fleet, func(group operator.Group) {
		fmt.Fprintf(output, "%s\t%s\t%d\t%d\t%s\n", group.ID, group.Holder, group.Term, group.Shards, strings.Join(group.Candidates, " "))
	})
}

// printUpstreams prints the upstreams of each group, as reported by the VM that
// holds the group.
func printUpstreams(output io.Writer, fleet operator.Fleet) {
	fmt.Fprintln(output, "\nUPSTREAM\tGROUP\tSTATE\tSHARDS\tBUSY\tQUEUED\tHOT KEYS")
	forEachHeldGroup(fleet, func(group operator.Group) {
		for _, upstream := range group.Upstreams {
			queued := 0
			for _, count := range upstream.Queued {
				queued += count
			}
			fmt.Fprintf(output, "%s\t%s\t%s\t%d\t%d/%d\t%d\t%s\n", upstream.Name, group.ID, upstream.State, upstream.Shards,
				upstream.Busy, upstream.Slots, queued, strings.Join(upstream.HotKeys, " "))
		}
	})
}

// forEachHeldGroup calls visit, in the order of group IDs, with each group that a
// VM reports as held by itself. The reports of other VMs on a group are ignored.
func forEachHeldGroup(fleet operator.Fleet, visit func(operator.Group)) {
	var heldGroups []operator.Group
	for _, vm := range fleet.VMs {
		for _, group := range vm.Groups {
			if group.Holder == vm.VM {
				heldGroups = append(heldGroups, group)
			}
		}
	}
	slices.SortFunc(heldGroups, func(a, b operator.Group) int { return strings.Compare(a.ID, b.ID) })
	for _, group := range heldGroups {
		visit(group)
	}
}
