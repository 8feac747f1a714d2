package org.cactusshift.internal.coordination.configsync;

import org.cactusshift.id.SiteId;

/**
 * Builds the keys of a site's configuration in the key-value store.
 *
 * <p>The head is the only key that is ever overwritten. The keys of indexes and parts contain the token of their
 * writer, so that no two writers write to the same one. Several writers may write a history key, all with the same
 * bytes.
 */
final class ConfigStoreKeys {
    private final String root;

    private ConfigStoreKeys(String root) {
        this.root = root;
    }

    static ConfigStoreKeys of(SiteId site) {
        return new ConfigStoreKeys("cactusshift/" + site + "/config/");
    }

    String head() {
        return root + "head";
    }

    String history(long version) {
        return historyPrefix() + String.format("%016d", version);
    }

    String historyPrefix() {
        return root + "history/";
    }

    String index(String writerId) {
        return root + "index/" + writerId;
    }

    String partsPrefix() {
        return root + "parts/";
    }

    String part(ConfigPartRef part) {
        return partsPrefix() + part.name() + "/" + part.writer();
    }
}
