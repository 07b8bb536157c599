package startcost

import (
	"fmt"
	"io"
)

// TableHeader is the first lines of the table that Row writes.
const TableHeader = "| axis | count | members | memory_mb | file | serving after | processor time until then | " +
	"resident | peak | at rest | processor time of a SIGHUP |\n" +
	"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"

// WriteRow writes one cost as a line of a table.
func WriteRow(w io.Writer, c Cost) error {
	_, err := fmt.Fprintf(w, "| %s | %d | %d | %d | %.2f MB | %.2f s | %.2f s | %.1f MB | %.1f MB | "+
		"%.2f%% of a core | %.2f s |\n",
		c.Axis, c.Count, c.FleetSize, c.MemoryMB, megabytes(uint64(c.FileBytes)), c.TimeToServe.Seconds(), c.StartCPU.Seconds(),
		megabytes(c.ResidentBytes), megabytes(c.PeakResidentBytes), 100*c.IdleCPU, c.ReloadCPU.Seconds())
	return err
}

// megabytes returns a number of bytes in MiB.
func megabytes(bytes uint64) float64 { return float64(bytes) / (1 << 20) }
