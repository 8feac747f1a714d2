package review;

/** The operator's configuration of the cases. */
final class Config {
    private Config() {}

    static String of(int version, String... services) {
        StringBuilder listed = new StringBuilder();
        for (String service : services) {
            listed.append(listed.length() == 0 ? "" : ",")
                    .append("{\"name\":\"" + service + "\",\"health_check\":\"/healthz\",\"max_connections\":110,")
                    .append("\"protocol\":\"h1\",\"tls\":false}");
        }
        String first = services[0];
        String streams = services.length > 1 ? services[1] : first;
        return "{\"version\":" + version + ",\"routes\":["
                + route("pay", "non_idempotent", first, 1_500, 121, 1, false) + ","
                + route("read", "idempotent", first, 1_500, 121, 2, false) + ","
                + route("stream", "stream", streams, 5_000, 600, 2, true)
                + "],\"services\":[" + listed + "],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"key-1\"],\"priority\":1}]}";
    }

    private static String route(
            String name, String type, String service, int timeout, int target, int attempts, boolean resumable) {
        return "{\"name\":\"r-" + name + "\",\"host\":\"h.example\",\"path_prefix\":\"/" + name + "/\",\"type\":\"" + type
                + "\",\"timeout_ms\":" + timeout + ",\"target_latency_ms\":" + target + ",\"priority\":1,\"service\":\""
                + service + "\",\"max_attempts\":" + attempts + ",\"public\":false,\"sticky\":false,\"can_resume\":"
                + resumable + ",\"gap_aim_ms\":300}";
    }
}
