// Package incarnation tells one life of a process from the next, and keeps for
// recovery which lives ended without handing over what they knew.
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

// keptLosses bounds the lost lives that a record keeps.
const keptLosses = 32

// Record is the value under a VM's key.
type Record struct {
	// Count is the number of the newest life.
	Count int64  `json:"count"`
	Role  string `json:"role"`
	// Clean says that the newest life ended by a planned stop and left
	// nothing unreported.
	Clean bool `json:"clean,omitempty"`
	// Gone says that the VM is absent from the platform's list for longer
	// than that list's lag.
	Gone bool `json:"gone,omitempty"`
	// Losses are earlier lives that ended without a planned stop.
	Losses []Loss `json:"losses,omitempty"`
}

// Loss is a life that took what it knew with it.
type Loss struct {
	Count int64 `json:"count"`
	// Before is a store revision by which the life had ended; 0 stands for
	// the revision of the record itself.
	Before store.Revision `json:"before,omitempty"`
}

// Registry keeps the records.
type Registry struct {
	Store  store.Store
	Prefix string
}

// Name returns the name of a life.
func Name(vm string, count int64) string { return fmt.Sprintf("%s#%d", vm, count) }

// Parse splits the name of a life.
func Parse(name string) (vm string, count int64, err error) {
	vm, n, ok := strings.Cut(name, "#")
	count, perr := strconv.ParseInt(n, 10, 64)
	if !ok || perr != nil || vm == "" {
		return "", 0, Error.New("%q is not the name of a life (vm#number)", name)
	}
	return vm, count, nil
}

// Begin starts the VM's next life and returns its name. A lost answer only skips
// a number; the skipped life counts as lost, although it knew nothing.
func (r Registry) Begin(ctx context.Context, vm, role string) (string, error) {
	var mine int64
	_, err := r.update(ctx, vm, func(rec *Record, rev store.Revision) {
		rec.begin(rev)
		rec.Role = role
		mine = rec.Count
	})
	return Name(vm, mine), err
}

// begin moves to the next life; rev is the revision of the record as it is.
func (rec *Record) begin(rev store.Revision) {
	for i := range rec.Losses {
		if rec.Losses[i].Before == 0 {
			rec.Losses[i].Before = rev
		}
	}
	if rec.Count > 0 && !rec.Clean {
		rec.Losses = append(rec.Losses, Loss{Count: rec.Count})
	}
	if n := len(rec.Losses) - keptLosses; n > 0 {
		rec.Losses = rec.Losses[n:]
	}
	rec.Count++
	rec.Clean, rec.Gone = false, false
}

// MarkClean records that a life ended by a planned stop and left nothing behind.
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

// MarkGone records that the VM is absent from the platform's list.
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

// listPage is the number of records read by one store call.
const listPage = 512

// All reads every record.
func (r Registry) All(ctx context.Context) ([]Entry, error) {
	var out []Entry
	from := ""
	for {
		items, err := r.Store.List(ctx, r.Prefix, from, listPage)
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
		if len(items) < listPage {
			return out, nil
		}
	}
}

// LostSince reports whether a life of this VM may have ended, with what it knew,
// after the given revision.
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
