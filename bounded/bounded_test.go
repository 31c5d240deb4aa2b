package bounded_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/arbutusmill/arbutusmill/bounded"
	"github.com/arbutusmill/arbutusmill/platform/standin"
	"github.com/stretchr/testify/require"
)

// Guards against a head without end, also one of responses that precede the final one.
func TestHeadWithoutEnd(t *testing.T) {
	for name, of := range map[string]*standin.Endless{
		"lines":         {Begin: standin.EndlessHead, Part: standin.EndlessHeadPart},
		"one line":      {Begin: standin.EndlessHead + "X-Filler: ", Part: "0123456789abcdef"},
		"short lines":   {Begin: standin.EndlessHead, Part: "a:\r\n"},
		"informational": {Part: standin.EndlessInformational},
	} {
		t.Run(name, func(t *testing.T) {
			e := &standin.Endless{Begin: of.Begin, Part: of.Part}
			client := http.Client{Transport: bounded.Transport(&http.Transport{DialContext: e.Dial})}
			_, err := client.Get("http://engine:80/")
			require.True(t, bounded.IsTooLong(err), "%v", err)
			require.LessOrEqual(t, e.Taken(), int64(bounded.MaxHeaderBytes))
		})
	}
}

func TestReader(t *testing.T) {
	for text, tooLong := range map[string]bool{`"123456"`: false, `"1234567"`: true, `   "123456"`: true, `{`: false} {
		var s string
		err := bounded.DecodeJSON(strings.NewReader(text), 8, "/path", &s)
		require.Equal(t, tooLong, bounded.IsTooLong(err), text)
		if tooLong {
			require.EqualError(t, err, "/path: more than 8 bytes")
		}
	}
}

// Guards against a sum that never has room again, or that small responses exhaust.
func TestSum(t *testing.T) {
	sum := bounded.NewSum(100)
	a, b := sum.Share(10), sum.Share(10)
	require.True(t, bounded.IsTooLong(a.Resize(61)))
	require.NoError(t, a.Resize(60))
	require.True(t, bounded.IsTooLong(b.Resize(36)))
	require.NoError(t, b.Resize(35))
	require.NoError(t, sum.Share(10).Resize(10))
	require.NoError(t, a.Resize(40))
	require.EqualValues(t, 55, sum.Held())
	rest := sum.Rest(10)
	require.True(t, bounded.IsTooLong(rest.Resize(56)))
	require.NoError(t, rest.Resize(55))
	rest.Release()
	a.Release()
	b.Release()
	a.Release()
	require.Zero(t, sum.Held())
}

func TestReadAll(t *testing.T) {
	sum := bounded.NewSum(1 << 20)
	for size, tooLong := range map[int]bool{0: false, 511: false, 512: false, 5000: false, 10_000: false, 10_001: true} {
		text := strings.Repeat("x", size)
		share := sum.Share(1000)
		b, err := bounded.ReadAll(iotest.OneByteReader(strings.NewReader(text)), 10_000, "body", share)
		require.Equal(t, tooLong, bounded.IsTooLong(err), "%d", size)
		if !tooLong {
			require.Equal(t, text, string(b))
		}
		require.LessOrEqual(t, sum.Held(), int64(9001))
		share.Release()
	}
	require.Zero(t, sum.Held())
}

// ownPeers are the packages whose clients talk only to stand-ins that their own process started.
var ownPeers = []string{"demo", "localfleet", "review", "soak", "standin", "platform/standin"}

// Guards against an HTTP client without limits: each transport goes through bounded.Transport, JSON documents of responses
// are decoded with a limit, and the default client, which has none, is not used. No client follows redirects.
func TestAllClientsAreBounded(t *testing.T) {
	files := 0
	require.NoError(t, filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		for _, p := range ownPeers {
			if strings.HasPrefix(path, filepath.Join("..", p)+string(filepath.Separator)) {
				return nil
			}
		}
		files++
		for _, at := range unboundedClients(t, path) {
			t.Errorf("%s", at)
		}
		return nil
	}))
	require.Greater(t, files, 100, "the module's files are found")
}

// unboundedClients returns the positions of clients and decoders without limits in a file.
func unboundedClients(t *testing.T, path string) (found []string) {
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, path, nil, parser.SkipObjectResolution)
	require.NoError(t, err)
	wrapped := map[ast.Node]bool{}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.CallExpr:
			if isName(n.Fun, "bounded", "Transport") {
				ast.Inspect(n.Args[0], func(arg ast.Node) bool { wrapped[arg] = true; return true })
			}
			if isName(n.Fun, "json", "NewDecoder") && strings.HasSuffix(exprText(n.Args[0]), ".Body") {
				found = append(found, set.Position(n.Pos()).String()+": a body is decoded without a limit")
			}
		case *ast.CompositeLit:
			if isName(n.Type, "http", "Transport") && !wrapped[n] || isName(n.Type, "http", "Client") && len(n.Elts) == 0 {
				found = append(found, set.Position(n.Pos()).String()+": a client without limits")
			}
			if isName(n.Type, "http", "Client") && !hasField(n, "CheckRedirect") {
				found = append(found, set.Position(n.Pos()).String()+": a client that follows redirects")
			}
		case *ast.SelectorExpr:
			for _, name := range []string{"DefaultClient", "DefaultTransport", "Get", "Post", "PostForm", "Head"} {
				if isName(n, "http", name) {
					found = append(found, set.Position(n.Pos()).String()+": the default client has no limits")
				}
			}
		}
		return true
	})
	return found
}

// hasField reports whether a literal sets a field.
func hasField(lit *ast.CompositeLit, name string) bool {
	return slices.ContainsFunc(lit.Elts, func(e ast.Expr) bool {
		kv, ok := e.(*ast.KeyValueExpr)
		if !ok {
			return false
		}
		key, ok := kv.Key.(*ast.Ident)
		return ok && key.Name == name
	})
}

func isName(e ast.Expr, pkg, name string) bool { return exprText(e) == pkg+"."+name }

// exprText returns the text of a selector, "" for other expressions.
func exprText(e ast.Expr) string {
	s, ok := e.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	if x, ok := s.X.(*ast.Ident); ok {
		return x.Name + "." + s.Sel.Name
	}
	return ""
}
