package commander

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"text/tabwriter"

	"github.com/cuminstream/cuminstream/internal/operator"
)

const ownerHelp = `Shows which upstream owns a key, and which VM sends to it.`

type ownerFlags struct {
	operatorFlags
	Key     string `arg:"" help:"The key."`
	Service string `help:"Name of the service; without it, all services are shown."`
}

func ownerEntry() entry {
	return entry{
		name: "owner", summary: "show the owner of a key",
		usage: func(output io.Writer) { printUsage("owner", ownerHelp, &ownerFlags{}, output) },
		parse: func(arguments []string, streams streams) (operation, error) {
			var flags ownerFlags
			err := parseFlags("owner", ownerHelp, &flags, arguments, streams)
			return newOwner(flags), err
		},
	}
}

type owner struct{ flags ownerFlags }

func newOwner(flags ownerFlags) *owner { return &owner{flags: flags} }

func (owner *owner) run(ctx context.Context, streams streams) error {
	query := url.Values{"key": {owner.flags.Key}}
	if owner.flags.Service != "" {
		query.Set("service", owner.flags.Service)
	}
	var owners []operator.Owner
	if err := owner.flags.ask(ctx, "/owner", query, &owners); err != nil {
		return err
	}
	if owner.flags.JSON {
		return printJSON(streams.output, owners)
	}
	table := tabwriter.NewWriter(streams.output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tKEY\tSHARD\tGROUP\tHOLDER\tTERM\tUPSTREAM\tHOT")
	for _, found := range owners {
		upstream := found.Upstream
		if upstream == "" {
			upstream = "(not known)"
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%d\t%s\t%t\n", found.Service, found.Key, found.Shard, found.Group, found.Holder,
			found.Term, upstream, found.Hot)
	}
	return table.Flush()
}
