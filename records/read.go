package records

import (
	"context"
	"errors"
	"net/url"
	"sort"
	"strings"
	"time"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

const (
	keyPrefix = "records/"
	// readMargin widens the period whose days are read, because records may be written
	// some seconds after midnight and routers' clocks differ.
	readMargin = time.Hour
	// keyCharacters are the characters that may occur in a key: those of an
	// escaped router name and of the other parts.
	keyCharacters = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_.~%+/"
)

func dayPrefix(day string) string { return keyPrefix + day + "/" }

func routerPrefix(day, router string) string { return dayPrefix(day) + url.QueryEscape(router) + "/" }

// routerOfKey returns the router that a key belongs to, or the key itself if it
// has another format.
func routerOfKey(key string) string {
	parts := strings.Split(key, "/")
	if len(parts) < 4 {
		return key
	}
	router, err := url.QueryUnescape(parts[2])
	if err != nil {
		return key
	}
	return router
}

// ReadResult holds the records that Read found and names those it could not read.
type ReadResult struct {
	// Records holds one copy of each record, in the order of ids.
	Records []api.Record
	// Unread names the routers, or the key prefixes, whose records could not be
	// read.
	Unread []string
}

// Read reads the records of all days from the day of since to today. It returns
// an error only if no day could be read; Unread then still names what is missing.
func Read(ctx context.Context, store objectstore.Store, since time.Time) (ReadResult, error) {
	return readDays(ctx, store, Days(since.Add(-readMargin), time.Now().Add(readMargin)))
}

func readDays(ctx context.Context, store objectstore.Store, days []string) (ReadResult, error) {
	set := newRecordSet()
	unread := map[string]bool{}
	failed := 0
	var lastErr error
	for _, day := range days {
		err := listAll(ctx, store, dayPrefix(day), unread, func(object objectstore.Object) {
			batch, err := DecodeBatch(object.Value)
			if err != nil {
				unread["router "+routerOfKey(object.Key)] = true
				return
			}
			set.add(batch.Records...)
		})
		if err != nil {
			failed++
			lastErr = err
		}
	}
	result := ReadResult{Records: set.sorted()}
	for name := range unread {
		result.Unread = append(result.Unread, name)
	}
	sort.Strings(result.Unread)
	if failed < len(days) {
		lastErr = nil
	}
	return result, lastErr
}

// listAll visits all objects under a prefix. If they are too many for one call of
// List, it makes one call for each possible next character of the key. It cannot make
// one call per router instead, because the names of routers that have left the fleet
// are not known. Prefixes that cannot be read are added to unread.
func listAll(ctx context.Context, store objectstore.Store, prefix string, unread map[string]bool, visit func(objectstore.Object)) error {
	objects, err := store.List(ctx, prefix)
	if err == nil {
		for _, object := range objects {
			visit(object)
		}
		return nil
	}
	if !errors.Is(err, objectstore.ErrTooLarge) || len(prefix) > 4*maxNameBytes {
		unread["objects "+prefix] = true
		return err
	}
	for _, character := range keyCharacters {
		if err := ctx.Err(); err != nil {
			unread["objects "+prefix] = true
			return err
		}
		_ = listAll(ctx, store, prefix+string(character), unread, visit) // failures are in unread
	}
	return nil
}
