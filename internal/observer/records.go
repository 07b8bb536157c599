package observer

import (
	"encoding/json"
	"log/slog"
)

// fold folds a batch of records into the current window and writes them to the records file.
func (o *Observer) fold(batch []*Entry) {
	for _, entry := range batch {
		o.folder.Add(&entry.Record)
		o.writeRecord(entry)
	}
	select {
	case o.recycled <- batch:
	default:
	}
}

// writeRecord appends a record to the records file, up to the file's configured size. After an error, such as a full
// disk, it writes nothing more; the estimates don't need the file.
func (o *Observer) writeRecord(entry *Entry) {
	limit := o.config.RecordsMaxBytes
	if o.recordsFile == nil || o.recordsWritten >= limit {
		return
	}
	line, err := json.Marshal(entry)
	if err == nil {
		var n int
		n, err = o.recordsFile.Write(append(line, '\n'))
		o.recordsWritten += n
	}
	if err != nil {
		slog.Warn("observer_records_write_failed", "error", err)
		o.recordsWritten = limit
	}
}
