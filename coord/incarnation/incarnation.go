// Package incarnation numbers the incarnations of the process on a VM, and records
// for recovery which of them ended without handing over their state.
package incarnation

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/arbutusmill/arbutusmill/coord/store"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("incarnation")

// maxKeptLosses bounds the losses that a record keeps.
const maxKeptLosses = 32

// Record is the stored value under a VM's key.
type Record struct {
	// Count is the number of the newest incarnation.
	Count int64  `json:"count"`
	Role  string `json:"role"`
	// Clean is set if the newest incarnation ended by a planned stop and left
	// nothing unreported.
	Clean bool `json:"clean,omitempty"`
	// Gone is set if the VM has been absent from the platform's list for longer
	// than that list's lag.
	Gone bool `json:"gone,omitempty"`
	// Losses are earlier incarnations that ended without a planned stop.
	Losses []Loss `json:"losses,omitempty"`
}

// Loss is an incarnation whose state was lost when it ended.
type Loss struct {
	Count int64 `json:"count"`
	// Before is a store revision by which the incarnation had ended; 0 stands
	// for the revision of the record itself.
	Before store.Revision `json:"before,omitempty"`
}

// Registry reads and updates the records in the store.
type Registry struct {
	Store  store.Store
	Prefix string
}

// Name returns the name of an incarnation, vm#number.
func Name(vm string, count int64) string { return fmt.Sprintf("%s#%d", vm, count) }

// Parse splits the name of an incarnation into its VM and number.
func Parse(name string) (vm string, count int64, err error) {
	vm, n, ok := strings.Cut(name, "#")
	count, perr := strconv.ParseInt(n, 10, 64)
	if !ok || perr != nil || vm == "" {
		return "", 0, Error.New("%q is not the name of an incarnation (vm#number)", name)
	}
	return vm, count, nil
}

// Begin starts the VM's next incarnation and returns its name. A lost response only
// skips a number; the skipped incarnation counts as lost, although it had no state.
func (r Registry) Begin(ctx context.Context, vm, role string) (string, error) {
	var count int64
	_, err := r.update(ctx, vm, func(rec *Record, rev store.Revision) {
		rec.begin(rev)
		rec.Role = role
		count = rec.Count
	})
	return Name(vm, count), err
}

// begin moves to the next incarnation; rev is the record's current revision.
func (rec *Record) begin(rev store.Revision) {
	for i := range rec.Losses {
		if rec.Losses[i].Before == 0 {
			rec.Losses[i].Before = rev
		}
	}
	if rec.Count > 0 && !rec.Clean {
		rec.Losses = append(rec.Losses, Loss{Count: rec.Count})
	}
	if n := len(rec.Losses) - maxKeptLosses; n > 0 {
		rec.Losses = rec.Losses[n:]
	}
	rec.Count++
	rec.Clean, rec.Gone = false, false
}

// MarkClean records that an incarnation ended by a planned stop and left nothing
// unreported.
func (r Registry) MarkClean(ctx context.Context, name string) error {
	vm, count, err := Parse(name)
	if err != nil {
		return err
	}
	_, err = r.update(ctx, vm, func(rec *Record, _ store.Revision) {
		rec.Clean = rec.Clean || rec.Count == count
	})
	return err
}

// MarkGone records that the VM is absent from the platform's list; see Record.Gone.
func (r Registry) MarkGone(ctx context.Context, vm string) error {
	_, err := r.update(ctx, vm, func(rec *Record, _ store.Revision) { rec.Gone = true })
	return err
}

func (r Registry) update(ctx context.Context, vm string, change func(*Record, store.Revision)) (Record, error) {
	var rec Record
	_, err := store.Update(ctx, r.Store, r.Prefix+vm, func(old store.Item) ([]byte, error) {
		rec = Record{}
		if old.Revision != 0 {
			if err := json.Unmarshal(old.Value, &rec); err != nil {
				return nil, Error.New("record of %s: %w", vm, err)
			}
		}
		change(&rec, old.Revision)
		return json.Marshal(rec)
	})
	return rec, err
}

// Entry is a VM's record with its revision.
type Entry struct {
	VM       string
	Revision store.Revision
	Record
}

// listPageSize is the number of records read by one store call.
const listPageSize = 512

// All reads every record.
func (r Registry) All(ctx context.Context) ([]Entry, error) {
	var out []Entry
	from := ""
	for {
		items, err := r.Store.List(ctx, r.Prefix, from, listPageSize)
		if err != nil {
			return nil, err
		}
		for _, it := range items {
			e := Entry{VM: strings.TrimPrefix(it.Key, r.Prefix), Revision: it.Revision}
			if err := json.Unmarshal(it.Value, &e.Record); err != nil {
				return nil, Error.New("record of %s: %w", e.VM, err)
			}
			out = append(out, e)
			from = it.Key + "\x00"
		}
		if len(items) < listPageSize {
			return out, nil
		}
	}
}

// LostSince reports whether an incarnation of this VM may have ended after the given
// revision with its state lost.
func (e Entry) LostSince(since store.Revision) bool {
	if e.Gone && !e.Clean && e.Revision > since {
		return true
	}
	for _, l := range e.Losses {
		before := l.Before
		if before == 0 {
			before = e.Revision
		}
		if before > since {
			return true
		}
	}
	return false
}
