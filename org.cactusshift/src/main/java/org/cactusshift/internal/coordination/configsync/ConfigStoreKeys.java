package org.cactusshift.internal.coordination.configsync;

import org.cactusshift.id.SiteId;

/**
 * Names of the configuration's keys in the key-value service.
 *
 * <p>The head is the only key that is ever overwritten. Indexes and parts carry the token of their writer in their
 * name, so two writers never share one.
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

    String index(String writer) {
        return root + "index/" + writer;
    }

    String partsPrefix() {
        return root + "parts/";
    }

    String part(ConfigPartRef part) {
        return partsPrefix() + part.name() + "/" + part.writer();
    }
}
