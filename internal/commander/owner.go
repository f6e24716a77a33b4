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
	if err := owner.flags.getJSON(ctx, "/owner", query, &owners); err != nil {
		return err
	}
	if owner.flags.JSON {
		return printJSON(streams.stdout, owners)
	}
	table := tabwriter.NewWriter(streams.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tKEY\tSHARD\tGROUP\tHOLDER\tTERM\tUPSTREAM\tHOT")
	for _, keyOwner := range owners {
		upstream := keyOwner.Upstream
		if upstream == "" {
			upstream = "(not known)"
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%d\t%s\t%t\n", keyOwner.Service, keyOwner.Key, keyOwner.Shard, keyOwner.Group, keyOwner.Holder,
			keyOwner.Term, upstream, keyOwner.Hot)
	}
	return table.Flush()
}
