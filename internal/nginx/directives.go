package nginx

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// blocks is a set of the blocks that a directive may stand in, a bit each.
type blocks uint8

const (
	inMain blocks = 1 << iota
	inHTTP
	inServer
	inLocation
	inUpstream
	inIf
)

const inAll = inHTTP | inServer | inLocation

func (b blocks) String() string {
	var list []string
	for i, name := range []string{"main", "http", "server", "location", "upstream", "if"} {
		if b&(1<<i) != 0 {
			list = append(list, name)
		}
	}
	return strings.Join(list, ", ")
}

// directive is what is known of a directive by its name. Its grade is the usual one: its arguments may make it worse.
type directive struct {
	in    blocks
	grade Grade
	text  string
}

const (
	ownWay   = "lockloom has its own"
	noFiles  = "lockloom serves no files: put a server that does behind a pool"
	noTLS    = "no TLS at the HTTP listener: end it in front"
	noFields = "no fields are added or hidden on the way back: have the server do it"
	noBuffer = "bodies are streamed both ways, at the pace of the slower side"
)

// directives are those that are known, by name. The table in docs/operators/nginx.md is made of them.
var directives = map[string]directive{
	"http":                 {inMain, Carried, ""},
	"events":               {inMain, Differs, ownWay + " bounds on connections"},
	"user":                 {inMain, Differs, "by whoever starts lockloom"},
	"worker_processes":     {inMain, Differs, ownWay + ": cores are set at start"},
	"worker_rlimit_nofile": {inMain, Differs, ownWay + ": descriptors are set at start"},
	"worker_connections":   {inMain, Differs, ownWay + ": descriptors are set at start"},
	"pid":                  {inMain, Differs, "by whoever starts lockloom"},
	"daemon":               {inMain, Differs, "by whoever starts lockloom"},
	"error_log":            {inMain | inAll, Differs, "its log is on standard error"},
	"access_log":           {inAll, Differs, "no line for each request: counts, and captures"},
	"log_format":           {inHTTP, Differs, "no line for each request"},
	"upstream":             {inHTTP, Carried, "a pool"},
	"server": {
		inHTTP | inUpstream, Carried, "routes of its names; in an upstream, a server of the pool",
	},
	"listen": {
		inServer, Carried, "without ssl, http2, unix sockets; all servers on the same addresses",
	},
	"server_name": {inServer, Carried, "exact names and wildcards; expressions are refused"},
	"location": {
		inServer | inLocation, Carried, "=, ^~, ~, ~* and prefixes, nested; named ones are refused",
	},
	"proxy_pass": {inLocation, Carried, "http to an upstream, a server, or by map and split_clients"},
	"return":     {inServer | inLocation | inIf, Carried, "redirects and fixed answers"},
	"rewrite": {
		inLocation, Carried, "with break; with redirect or permanent where the replacement ends with ?",
	},
	"if":             {inLocation, Carried, "only ($request_method = M) { return N; }"},
	"map":            {inHTTP, Carried, "of a field, a parameter or the method, to name a pool"},
	"split_clients":  {inHTTP, Carried, "of $remote_addr, to name a pool"},
	"limit_req_zone": {inHTTP, Carried, "by address or field"},
	"limit_req": {
		inAll, Differs, "over it 429 at once: nothing is delayed, whatever limit_req_status says",
	},
	"limit_conn_zone":      {inHTTP, Carried, "by address or field"},
	"limit_conn":           {inAll, Differs, "requests in flight; over it 429"},
	"limit_req_status":     {inAll, Differs, "429"},
	"limit_conn_status":    {inAll, Differs, "429"},
	"limit_req_log_level":  {inAll, Differs, ownWay + " log"},
	"limit_conn_log_level": {inAll, Differs, ownWay + " log"},
	"least_conn":           {inUpstream, Differs, "the pool's own choice: by score, under limits"},
	"random":               {inUpstream, Differs, "the pool's own choice: by score, under limits"},
	"keepalive":            {inUpstream, Differs, "connections are kept by what they cost"},
	"keepalive_requests":   {inAll | inUpstream, Differs, ownWay + " bounds"},
	"keepalive_timeout":    {inAll | inUpstream, Differs, ownWay + " bounds"},
	"keepalive_time":       {inAll | inUpstream, Differs, ownWay + " bounds"},
	"zone":                 {inUpstream, Differs, "one process: nothing to share"},
	"hash": {
		inUpstream, Refused,
		"no server is kept to a key at the HTTP listener: have sessions outside of the servers, or split by client address",
	},
	"ip_hash": {
		inUpstream, Refused, "no server is kept to an address: have sessions outside of the servers",
	},
	"sticky": {inUpstream, Refused, "no server is kept to a client"},
	"proxy_set_header": {
		inAll, Carried, "Host, Connection, X-Forwarded-For and -Proto as lockloom sets them; others are refused",
	},
	"proxy_http_version": {inAll, Differs, "HTTP/1.1 always"},
	"proxy_redirect": {
		inAll, Refused, "Location goes on as the server has it: have it know its public name",
	},
	"proxy_connect_timeout": {inAll, Differs, "a second, or what the deployment sets"},
	"proxy_send_timeout":    {inAll, Differs, "by the class's deadline"},
	"proxy_read_timeout": {
		inAll, Differs, "the class's deadline: of the whole request, all attempts and waits included",
	},
	"proxy_next_upstream": {
		inAll, Differs, "a retry policy: what never ran is sent again, what may run twice too; the balancer chooses",
	},
	"proxy_next_upstream_tries":     {inAll, Carried, "attempts of the retry policy"},
	"proxy_next_upstream_timeout":   {inAll, Differs, "by the class's deadline"},
	"proxy_buffering":               {inAll, Differs, noBuffer},
	"proxy_request_buffering":       {inAll, Differs, noBuffer},
	"proxy_buffers":                 {inAll, Differs, noBuffer},
	"proxy_buffer_size":             {inAll, Differs, noBuffer},
	"proxy_busy_buffers_size":       {inAll, Differs, noBuffer},
	"proxy_max_temp_file_size":      {inAll, Differs, noBuffer},
	"proxy_hide_header":             {inAll, Refused, noFields},
	"proxy_pass_header":             {inAll, Refused, noFields},
	"proxy_cookie_path":             {inAll, Refused, noFields},
	"proxy_cookie_domain":           {inAll, Refused, noFields},
	"proxy_intercept_errors":        {inAll, Refused, "a server's answer goes on as it is"},
	"proxy_cache":                   {inAll, Refused, "nothing is cached: put a cache in front"},
	"proxy_cache_path":              {inHTTP, Refused, "nothing is cached: put a cache in front"},
	"proxy_cache_valid":             {inAll, Refused, "nothing is cached: put a cache in front"},
	"proxy_ssl_verify":              {inAll, Refused, "no TLS to servers"},
	"client_max_body_size":          {inAll, Refused, "bodies are of any size: have the server refuse larger ones"},
	"client_body_timeout":           {inAll, Differs, "by the body's pace"},
	"client_header_timeout":         {inHTTP | inServer, Differs, "2.5 s"},
	"client_body_buffer_size":       {inAll, Differs, noBuffer},
	"client_header_buffer_size":     {inHTTP | inServer, Differs, "64 KiB of a head"},
	"large_client_header_buffers":   {inHTTP | inServer, Differs, "64 KiB of a head"},
	"send_timeout":                  {inAll, Differs, "30 s without a byte taken"},
	"lingering_close":               {inAll, Differs, ownWay + " way"},
	"reset_timedout_connection":     {inAll, Differs, ownWay + " way"},
	"sendfile":                      {inAll, Carried, "of no meaning here"},
	"tcp_nopush":                    {inAll, Carried, "of no meaning here"},
	"tcp_nodelay":                   {inAll, Carried, "of no meaning here"},
	"server_tokens":                 {inAll, Carried, "lockloom sends no Server field of its own"},
	"server_names_hash_bucket_size": {inHTTP, Carried, "of no meaning here"},
	"server_names_hash_max_size":    {inHTTP, Carried, "of no meaning here"},
	"types_hash_max_size":           {inAll, Carried, "of no meaning here"},
	"types_hash_bucket_size":        {inAll, Carried, "of no meaning here"},
	"map_hash_bucket_size":          {inHTTP, Carried, "of no meaning here"},
	"map_hash_max_size":             {inHTTP, Carried, "of no meaning here"},
	"types":                         {inAll, Carried, "of files: of no meaning here"},
	"default_type":                  {inAll, Carried, "the type of fixed answers"},
	"merge_slashes":                 {inHTTP | inServer, Carried, "on, as lockloom does; off is refused"},
	"gzip":                          {inAll, Differs, "answers go on as servers have them"},
	"gzip_types":                    {inAll, Differs, "answers go on as servers have them"},
	"gzip_vary":                     {inAll, Differs, "answers go on as servers have them"},
	"gzip_min_length":               {inAll, Differs, "answers go on as servers have them"},
	"gzip_proxied":                  {inAll, Differs, "answers go on as servers have them"},
	"gzip_comp_level":               {inAll, Differs, "answers go on as servers have them"},
	"root":                          {inAll, Refused, noFiles},
	"alias":                         {inLocation, Refused, noFiles},
	"index":                         {inAll, Refused, noFiles},
	"autoindex":                     {inAll, Refused, noFiles},
	"try_files":                     {inServer | inLocation, Refused, noFiles},
	"expires":                       {inAll, Refused, noFields},
	"add_header":                    {inAll, Refused, noFields},
	"error_page":                    {inAll, Refused, "a server's answer, or lockloom's own, goes on as it is"},
	"internal":                      {inLocation, Refused, "nothing is routed within: leave the location out"},
	"auth_basic":                    {inAll, Refused, "lockloom asks nobody who he is: have the server do it"},
	"auth_basic_user_file":          {inAll, Refused, "lockloom asks nobody who he is"},
	"auth_request":                  {inAll, Refused, "lockloom asks nobody who he is"},
	"allow":                         {inAll, Refused, "addresses are not told apart: use a firewall"},
	"deny":                          {inAll, Refused, "addresses are not told apart: use a firewall"},
	"satisfy":                       {inAll, Refused, "lockloom asks nobody who he is"},
	"limit_except":                  {inLocation, Refused, "write routes with methods"},
	"limit_rate":                    {inAll, Refused, "answers go on as fast as they come"},
	"set":                           {inServer | inLocation | inIf, Refused, "no variables: write what it comes to"},
	"resolver":                      {inAll, Differs, "the system's"},
	"fastcgi_pass":                  {inLocation, Refused, "FastCGI is not spoken yet"},
	"fastcgi_param":                 {inAll, Refused, "FastCGI is not spoken yet"},
	"uwsgi_pass":                    {inLocation, Refused, "it is not spoken"},
	"scgi_pass":                     {inLocation, Refused, "it is not spoken"},
	"grpc_pass":                     {inLocation, Refused, "HTTP/2 is not spoken yet"},
	"memcached_pass":                {inLocation, Refused, "it is not spoken"},
	"mirror":                        {inAll, Refused, "a request goes to one server at a time"},
	"ssl_certificate":               {inHTTP | inServer, Refused, noTLS},
	"ssl_certificate_key":           {inHTTP | inServer, Refused, noTLS},
	"ssl_protocols":                 {inHTTP | inServer, Refused, noTLS},
	"ssl_ciphers":                   {inHTTP | inServer, Refused, noTLS},
	"http2":                         {inHTTP | inServer, Refused, "HTTP/1.1 only"},
	"stream":                        {inMain, Refused, "HTTP only"},
	"mail":                          {inMain, Refused, "HTTP only"},
	"load_module":                   {inMain, Refused, "what a module means is not known"},
}

// Table is the known directives as a table in Markdown, in order of their names.
func Table() string {
	var b strings.Builder
	b.WriteString("| directive | in | usual verdict | |\n| --- | --- | --- | --- |\n")
	for _, name := range slices.Sorted(maps.Keys(directives)) {
		d := directives[name]
		text := strings.ReplaceAll(d.text, "|", "\\|")
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", name, d.in, d.grade, text)
	}
	return b.String()
}
