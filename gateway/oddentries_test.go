package gateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/arbutusmill/arbutusmill/platform"
	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// oddValues are values of entries that no upstream, operator or process writes.
func oddValues() map[string]string {
	const depth = 200_000
	entry := func(field, value string) string {
		fields := map[string]string{"service": `"plain"`, "address": `"10.2.0.99:80"`, "zone": `"bergen"`, "version": `"1"`, "slots": "6", "state": `"ready"`,
			"cold_remaining_ms": "0", "sequence": "1", "born": "1"}
		fields[field] = value
		var all []string
		for name, v := range fields {
			all = append(all, fmt.Sprintf("%q:%s", name, v))
		}
		return "{" + strings.Join(all, ",") + "}"
	}
	return map[string]string{
		"empty": "", "null": "null", "text": `"x"`, "list": "[]", "object": "{}", "no UTF-8": "\xff\xfe", "cut off": `{"service":"pla`,
		"deep arrays": strings.Repeat("[", depth) + strings.Repeat("]", depth), "never closed": strings.Repeat(`{"a":`, depth),
		"deep unknown field": entry("unknown", strings.Repeat("[", depth)+strings.Repeat("]", depth)),
		"slots of 1e400":     entry("slots", "1e400"), "slots of 20 digits": entry("slots", strings.Repeat("9", 20)),
		"largest slots": entry("slots", "9223372036854775807"), "negative slots": entry("slots", "-1"), "fractional slots": entry("slots", "0.5"),
		"cold for 1e300 ms": entry("cold_remaining_ms", "1e300"), "sequence of 20 digits": entry("sequence", strings.Repeat("9", 20)),
		"born at the end of time": entry("born", "9223372036854775807"), "born of 1e400": entry("born", "1e400"),
		"port 70000": entry("address", `"10.2.0.98:70000"`), "port -1": entry("address", `"10.2.0.98:-1"`), "port 0": entry("address", `"10.2.0.98:0"`),
		"port of 10,000 digits": entry("address", `"10.2.0.98:`+strings.Repeat("9", 10_000)+`"`), "no port": entry("address", `"10.2.0.98"`),
		"member": `{"id":"odd","role":"router","vm":"odd","address":"10.1.0.99:70000"}`,
	}
}

// oddKeys are the prefixes under which others write, or might.
var oddKeys = []string{platform.UpstreamPrefix, platform.DrainPrefix, platform.RolloutPrefix, platform.OperatorPrefix, "arbutusmill/member/", "status/"}

// Guards against readers of the store that end, or follow no further changes, after another writer left an odd entry: as a new entry,
// beside its own kind and under each other prefix, and in place of one that was sound.
func TestOddEntriesStopNoReader(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.putConfig(0, "k1")
		f.upstream("i-1", "plain", 0)
		f.upstream("i-2", "plain", 0)
		for vm := 1; vm <= 3; vm++ {
			f.startVM(vm)
		}
		time.Sleep(5 * time.Second)
		n := 0
		for name, value := range oddValues() {
			for _, prefix := range oddKeys {
				n++
				require.NoError(t, f.store.WriteEntry(fmt.Sprintf("%sodd-%d", prefix, n), []byte(value)), name)
			}
			require.NoError(t, f.store.CorruptEntry("i-2", []byte(value)))
			f.settle()
		}
		time.Sleep(5 * time.Second)
		f.upstream("i-3", "plain", 0)
		require.NoError(t, f.store.Unregister("i-1"))
		added := f.addRoute("k1", "k2")
		f.startVM(4)
		time.Sleep(4 * time.Second)
		for vm := range f.gateways {
			for i := range 5 {
				req := added
				req.id, req.vm, req.key = fmt.Sprintf("r-%d-%d", vm, i), vm, "k2"
				resp := f.send(req)
				assert.Equal(t, 200, resp.status, "router %d: %s", vm, resp.body)
				assert.Equal(t, "signature-of-i-3", resp.header.Get(standin.HeaderSignature))
			}
			require.Len(t, f.gateways[vm].gateway.RouterVMs(), 4, "router %d", vm)
		}
	})
}
