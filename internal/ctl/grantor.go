package ctl

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/kumquathollow/kumquathollow/api/grantpb"
)

func printGrantor(w io.Writer, st *grantpb.GrantorStatusResponse) {
	fmt.Fprintf(w, "data centre %s, term %d, ", st.DataCentre, st.Term)
	if st.HoldsLease {
		fmt.Fprintln(w, "this process holds the lease")
	} else {
		fmt.Fprintf(w, "the lease is held by %s\n", orElse(st.Holder, "nobody known"))
	}
	if l := st.Load; l != nil {
		fmt.Fprintf(w, "in flight %d of %d, queued %d, out %v\n", l.InFlight, l.Capacity, l.Queued, l.Out)
	}
	for _, o := range st.Overrides {
		fmt.Fprintf(w, "local override: %s\n", o)
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "\nSERVER\tSERVICE\tSTATE\tIN FLIGHT\tLIMIT\tREPORTED\tSILENT\tADDRESS")
	for _, s := range st.Servers {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\n", s.Name, s.Service, s.State, s.InFlight, s.Limit, s.Reported, formatMillis(s.SilentMs), s.Address)
	}
	_ = t.Flush()
}
