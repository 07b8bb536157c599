package observer

import (
	"encoding/json"
	"log/slog"
)

// addBatch adds a batch of records to the current window and to the records file, and recycles the batch.
func (o *Observer) addBatch(batch []*Entry) {
	for _, entry := range batch {
		o.summarizer.Add(&entry.Record)
		o.writeRecord(entry)
	}
	select {
	case o.recycled <- batch:
	default:
	}
}

// writeRecord appends a record to the records file, if there is one and no more than the configured number of bytes was
// written. After an error, such as a full disk, nothing more is written: the estimates don't need the file.
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
