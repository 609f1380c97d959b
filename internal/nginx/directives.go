package nginx

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// blocks is a set of the blocks that a directive is allowed in, as a bit set.
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

// directive is the usual verdict on a directive. Unsupported arguments may make the verdict of one occurrence worse.
type directive struct {
	in    blocks
	grade Grade
	text  string
}

const (
	usesOwn  = "lockloom uses its own"
	noFiles  = "lockloom serves no files: forward to a pool of file servers"
	noTLS    = "the HTTP listener has no TLS: terminate TLS in front of it"
	noFields = "response header fields are neither added nor removed: have the server do it"
	noBuffer = "bodies are streamed in both directions, at the speed of the slower side"
)

// directives holds the known directives by name. DirectiveTable formats them for docs/operators/nginx.md.
var directives = map[string]directive{
	"http":                 {inMain, Carried, ""},
	"events":               {inMain, Differs, usesOwn + " limits on connections"},
	"user":                 {inMain, Differs, "left to the service manager that starts lockloom"},
	"worker_processes":     {inMain, Differs, usesOwn + " number of cores: cores in the launch file"},
	"worker_rlimit_nofile": {inMain, Differs, usesOwn + " limit on file descriptors: sockets in the launch file"},
	"worker_connections":   {inMain, Differs, usesOwn + " limit on file descriptors: sockets in the launch file"},
	"pid":                  {inMain, Differs, "left to the service manager that starts lockloom"},
	"daemon":               {inMain, Differs, "left to the service manager that starts lockloom"},
	"error_log":            {inMain | inAll, Differs, "lockloom logs to standard error"},
	"access_log":           {inAll, Differs, "lockloom writes no log line per request: use counters and captures"},
	"log_format":           {inHTTP, Differs, "lockloom writes no log line per request"},
	"upstream":             {inHTTP, Carried, "becomes a pool"},
	"server": {
		inHTTP | inUpstream, Carried,
		"in http, becomes the routes for its names; in an upstream, becomes a server of the pool",
	},
	"listen": {
		inServer, Carried,
		"supported without ssl, http2, quic and Unix sockets; all servers must listen on the same addresses",
	},
	"server_name": {inServer, Carried, "exact names and wildcards; regular expressions are refused"},
	"location": {
		inServer | inLocation, Carried, "=, ^~, ~, ~* and prefix locations, also nested; named locations are refused",
	},
	"proxy_pass": {inLocation, Carried, "http:// to an upstream or a server, or to a pool chosen by map or split_clients"},
	"return":     {inServer | inLocation | inIf, Carried, "redirects and fixed responses"},
	"rewrite": {
		inLocation, Carried, "supported with the flag break, and with redirect or permanent if the replacement ends with ?",
	},
	"if":             {inLocation, Carried, "supported only in the form if ($request_method = M) { return N; }"},
	"map":            {inHTTP, Carried, "supported to choose a pool by a header field, a query parameter or the method"},
	"split_clients":  {inHTTP, Carried, "supported to choose a pool by $remote_addr"},
	"limit_req_zone": {inHTTP, Carried, "the key is the client address or a header field"},
	"limit_req": {
		inAll, Differs, "requests over the limit get 429 without delay, whatever limit_req_status says",
	},
	"limit_conn_zone":      {inHTTP, Carried, "the key is the client address or a header field"},
	"limit_conn":           {inAll, Differs, "limits the requests in flight; requests over the limit get 429"},
	"limit_req_status":     {inAll, Differs, "the status of rejected requests is always 429"},
	"limit_conn_status":    {inAll, Differs, "the status of rejected requests is always 429"},
	"limit_req_log_level":  {inAll, Differs, usesOwn + " logging"},
	"limit_conn_log_level": {inAll, Differs, usesOwn + " logging"},
	"least_conn":           {inUpstream, Differs, "servers are chosen by score, within their concurrency limits"},
	"random":               {inUpstream, Differs, "servers are chosen by score, within their concurrency limits"},
	"keepalive":            {inUpstream, Differs, "idle connections are kept according to their cost"},
	"keepalive_requests":   {inAll | inUpstream, Differs, usesOwn + " limits"},
	"keepalive_timeout":    {inAll | inUpstream, Differs, usesOwn + " limits"},
	"keepalive_time":       {inAll | inUpstream, Differs, usesOwn + " limits"},
	"zone":                 {inUpstream, Differs, "lockloom is a single process and needs no shared memory zone"},
	"hash": {
		inUpstream, Refused,
		"the HTTP listener has no affinity by key: store sessions outside the servers, or use split_clients by $remote_addr",
	},
	"ip_hash": {
		inUpstream, Refused, "the HTTP listener has no affinity by client address: store sessions outside the servers",
	},
	"sticky": {
		inUpstream, Refused, "the HTTP listener does not keep a client on one server: store sessions outside the servers",
	},
	"proxy_set_header": {
		inAll, Carried,
		"only Host, Connection, X-Forwarded-For, X-Forwarded-Proto and X-Forwarded-Host, with the values lockloom sets",
	},
	"proxy_http_version": {inAll, Differs, "requests to servers always use HTTP/1.1"},
	"proxy_redirect": {
		inAll, Refused, "the Location field of responses is passed on unchanged: configure the server with its public name",
	},
	"proxy_connect_timeout": {inAll, Differs, "the timeout is 1 s unless the deployment sets another one"},
	"proxy_send_timeout":    {inAll, Differs, "the deadline of the request class applies instead"},
	"proxy_read_timeout": {
		inAll, Differs, "becomes the deadline of the request class: for the whole request, with all attempts and time queued",
	},
	"proxy_next_upstream": {
		inAll, Differs,
		"becomes a retry policy: requests that never ran or may run twice are retried, if the balancer decides so",
	},
	"proxy_next_upstream_tries":     {inAll, Carried, "becomes the maximum number of attempts of the retry policy"},
	"proxy_next_upstream_timeout":   {inAll, Differs, "the deadline of the request class applies instead"},
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
	"proxy_intercept_errors":        {inAll, Refused, "error responses of servers are passed on unchanged"},
	"proxy_cache":                   {inAll, Refused, "lockloom does not cache: put a cache in front"},
	"proxy_cache_path":              {inHTTP, Refused, "lockloom does not cache: put a cache in front"},
	"proxy_cache_valid":             {inAll, Refused, "lockloom does not cache: put a cache in front"},
	"proxy_ssl_verify":              {inAll, Refused, "connections to servers do not use TLS"},
	"client_max_body_size":          {inAll, Refused, "bodies of any size are accepted: have the server limit them"},
	"client_body_timeout":           {inAll, Differs, "a minimum rate at which the body must arrive applies instead"},
	"client_header_timeout":         {inHTTP | inServer, Differs, "the timeout for a request head is always 2.5 s"},
	"client_body_buffer_size":       {inAll, Differs, noBuffer},
	"client_header_buffer_size":     {inHTTP | inServer, Differs, "a request head has at most 64 KiB"},
	"large_client_header_buffers":   {inHTTP | inServer, Differs, "a request head has at most 64 KiB"},
	"send_timeout":                  {inAll, Differs, "the timeout is always 30 s without a byte read by the client"},
	"lingering_close":               {inAll, Differs, usesOwn + " rules for closing connections"},
	"reset_timedout_connection":     {inAll, Differs, usesOwn + " rules for closing connections"},
	"sendfile":                      {inAll, Carried, "has no effect in lockloom"},
	"tcp_nopush":                    {inAll, Carried, "has no effect in lockloom"},
	"tcp_nodelay":                   {inAll, Carried, "has no effect in lockloom"},
	"server_tokens":                 {inAll, Carried, "lockloom sends no Server field of its own"},
	"server_names_hash_bucket_size": {inHTTP, Carried, "has no effect in lockloom"},
	"server_names_hash_max_size":    {inHTTP, Carried, "has no effect in lockloom"},
	"types_hash_max_size":           {inAll, Carried, "has no effect in lockloom"},
	"types_hash_bucket_size":        {inAll, Carried, "has no effect in lockloom"},
	"map_hash_bucket_size":          {inHTTP, Carried, "has no effect in lockloom"},
	"map_hash_max_size":             {inHTTP, Carried, "has no effect in lockloom"},
	"types":                         {inAll, Carried, "applies to served files: has no effect in lockloom"},
	"default_type":                  {inAll, Carried, "sets the content type of fixed responses"},
	"merge_slashes":                 {inHTTP | inServer, Carried, "lockloom always merges slashes; off is refused"},
	"gzip":                          {inAll, Differs, "responses are passed on as servers encode them"},
	"gzip_types":                    {inAll, Differs, "responses are passed on as servers encode them"},
	"gzip_vary":                     {inAll, Differs, "responses are passed on as servers encode them"},
	"gzip_min_length":               {inAll, Differs, "responses are passed on as servers encode them"},
	"gzip_proxied":                  {inAll, Differs, "responses are passed on as servers encode them"},
	"gzip_comp_level":               {inAll, Differs, "responses are passed on as servers encode them"},
	"root":                          {inAll, Refused, noFiles},
	"alias":                         {inLocation, Refused, noFiles},
	"index":                         {inAll, Refused, noFiles},
	"autoindex":                     {inAll, Refused, noFiles},
	"try_files":                     {inServer | inLocation, Refused, noFiles},
	"expires":                       {inAll, Refused, noFields},
	"add_header":                    {inAll, Refused, noFields},
	"error_page": {
		inAll, Refused, "error pages cannot be set: responses of servers and of lockloom itself are sent unchanged",
	},
	"internal":             {inLocation, Refused, "lockloom has no internal redirects: leave the location out"},
	"auth_basic":           {inAll, Refused, "lockloom does not authenticate clients: have the server do it"},
	"auth_basic_user_file": {inAll, Refused, "lockloom does not authenticate clients"},
	"auth_request":         {inAll, Refused, "lockloom does not authenticate clients"},
	"allow":                {inAll, Refused, "lockloom does not filter client addresses: use a firewall"},
	"deny":                 {inAll, Refused, "lockloom does not filter client addresses: use a firewall"},
	"satisfy":              {inAll, Refused, "lockloom does not authenticate clients"},
	"limit_except":         {inLocation, Refused, "write routes with methods in the operator file instead"},
	"limit_rate":           {inAll, Refused, "lockloom does not limit the rate at which responses are sent"},
	"set": {
		inServer | inLocation | inIf, Refused, "variables cannot be set: replace each use of the variable with its value",
	},
	"resolver":            {inAll, Differs, "lockloom resolves names with the resolver of the system"},
	"fastcgi_pass":        {inLocation, Refused, "FastCGI is not supported yet"},
	"fastcgi_param":       {inAll, Refused, "FastCGI is not supported yet"},
	"uwsgi_pass":          {inLocation, Refused, "the uwsgi protocol is not supported"},
	"scgi_pass":           {inLocation, Refused, "SCGI is not supported"},
	"grpc_pass":           {inLocation, Refused, "HTTP/2 is not supported yet"},
	"memcached_pass":      {inLocation, Refused, "the memcached protocol is not supported"},
	"mirror":              {inAll, Refused, "lockloom does not mirror requests to other servers"},
	"ssl_certificate":     {inHTTP | inServer, Refused, noTLS},
	"ssl_certificate_key": {inHTTP | inServer, Refused, noTLS},
	"ssl_protocols":       {inHTTP | inServer, Refused, noTLS},
	"ssl_ciphers":         {inHTTP | inServer, Refused, noTLS},
	"http2":               {inHTTP | inServer, Refused, "only HTTP/1.1 is supported"},
	"stream":              {inMain, Refused, "only HTTP is supported"},
	"mail":                {inMain, Refused, "only HTTP is supported"},
	"load_module":         {inMain, Refused, "the effect of an nginx module is not known"},
}

// DirectiveTable returns the known directives as a Markdown table, sorted by name.
func DirectiveTable() string {
	var b strings.Builder
	b.WriteString("| directive | context | usual verdict | details |\n| --- | --- | --- | --- |\n")
	for _, name := range slices.Sorted(maps.Keys(directives)) {
		d := directives[name]
		text := strings.ReplaceAll(d.text, "|", "\\|")
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", name, d.in, d.grade, text)
	}
	return b.String()
}
