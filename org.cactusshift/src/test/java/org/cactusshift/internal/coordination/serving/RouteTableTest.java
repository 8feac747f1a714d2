package org.cactusshift.internal.coordination.serving;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.cactusshift.id.ServiceId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RouteTableTest {
    private static ServedRoute route(String host, String prefix) {
        return new ServedRoute(
                host + prefix, host, prefix, RequestKind.REPEATABLE, List.of(), 1_000, 100, 0, 0, 1, false, false);
    }

    private final RouteTable table = RouteTable.of(List.of(
            route("one.example", "/a/"),
            route("one.example", "/a/b/"),
            route("two.example", "/"),
            route("two.example", "/a/")));

    @ParameterizedTest
    @CsvSource({
        "one.example, /a/x, one.example/a/",
        "one.example, /a/b/x, one.example/a/b/",
        "one.example, /a/b, one.example/a/",
        "one.example, /a/bc/x, one.example/a/",
        "ONE.example:8080, /a/?q=/a/b/, one.example/a/",
        "two.example, /other, two.example/",
        "two.example, /a/b/c/d, two.example/a/",
    })
    void longestPrefixOfTheHostMatches(String host, String target, String route) {
        assertEquals(route, table.find(host, target).orElseThrow().name());
    }

    @ParameterizedTest
    @CsvSource({"one.example, /", "one.example, /ab/x", "three.example, /a/x", "one.example, *"})
    void otherPathsHaveNoRoute(String host, String target) {
        assertEquals(true, table.find(host, target).isEmpty());
    }

    @Test
    void serviceIsSelectedByWeight() {
        ServedRoute weighted = new ServedRoute(
                "r",
                "h",
                "/",
                RequestKind.STREAM,
                List.of(
                        new WeightedService(ServiceId.fromString("a"), 90),
                        new WeightedService(ServiceId.fromString("b"), 10)),
                1_000,
                100,
                0,
                0,
                1,
                false,
                false);
        int countOfB = 0;
        for (int hash = 0; hash < 1_000; hash++) {
            if (weighted.selectService(hash).orElseThrow().value().equals("b")) {
                countOfB++;
            }
        }
        assertEquals(100, countOfB);
    }
}
