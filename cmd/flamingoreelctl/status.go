package main

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/flamingoreel/flamingoreel/internal/vm"
)

func (t *tool) status(ctx context.Context, s settings) int {
	var st vm.Status
	if err := newClient(s.servers).get(ctx, "/v1/status", &st); err != nil {
		return t.failed(err)
	}
	t.print(st, func() { t.statusText(st) })
	return exitOK
}

func (t *tool) statusText(st vm.Status) {
	fmt.Fprintf(t.stdout, "leader %s, seen from %s, version %d\n", orDefault(st.Leader, "unknown"), st.VM, st.Version)
	fmt.Fprintf(t.stdout, "configuration %d%s\n", st.ConfigNumber, inForce(st))
	w := tabwriter.NewWriter(t.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nVM\tREGION\tDATA CENTRE\tADDRESS\tSTOPPING")
	for _, v := range st.VMs {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\n", v.Name, v.Region, v.DataCentre, v.CallerAddr, v.Stopping)
	}
	fmt.Fprintln(w, "\nTARGET\tSERVICE\tDATA CENTRE\tSTATE\tDISPATCHER\tSLICES")
	for _, target := range st.Targets {
		state := string(target.State)
		if target.Lost {
			state = "lost"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\n", target.ID, target.Service, target.DataCentre, state, orDefault(target.Dispatcher, "none"), target.Slices)
	}
	fmt.Fprintln(w, "\nSERVICE\tHOME REGIONS\tSLICES\tOWNED")
	for _, row := range sliceRows(st.Slices) {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", row.service, orDefault(row.residency, "all"), row.slices, row.owned)
	}
	_ = w.Flush()
}

// inForce describes whether every VM has applied the configuration; empty if that
// is not known.
func inForce(st vm.Status) string {
	switch {
	case st.LowestConfigNumber == 0:
		return ""
	case st.LowestConfigNumber >= st.ConfigNumber:
		return ", in force on every VM"
	}
	return fmt.Sprintf(", some VM still applies %d", st.LowestConfigNumber)
}

// sliceRow is a row of the status: the number of slices of a service and its home
// regions, and how many of them are owned.
type sliceRow struct {
	service, residency string
	slices, owned      int
}

// sliceRows returns the rows in the order in which their services and home regions
// first appear.
func sliceRows(slices []vm.SliceState) []*sliceRow {
	var rows []*sliceRow
	byID := map[[2]string]*sliceRow{}
	for _, s := range slices {
		id := [2]string{s.Service, string(s.Residency)}
		if byID[id] == nil {
			byID[id] = &sliceRow{service: s.Service, residency: string(s.Residency)}
			rows = append(rows, byID[id])
		}
		byID[id].slices++
		if s.Phase == "owned" {
			byID[id].owned++
		}
	}
	return rows
}

// orDefault returns v, or def if v is empty.
func orDefault(v, def string) string {
	if v == "" {
		return def
	}
	return v
}
