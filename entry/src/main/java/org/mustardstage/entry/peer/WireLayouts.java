package org.mustardstage.entry.peer;

import com.fasterxml.jackson.databind.BeanDescription;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationConfig;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.BeanPropertyWriter;
import com.fasterxml.jackson.databind.ser.BeanSerializerModifier;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.msgpack.jackson.dataformat.JsonArrayFormat;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.mustardstage.core.member.PeerRelease;
import org.mustardstage.schema.PeerSchema;

/**
 * The layouts of payloads in the releases of the protocol: arrays of the fields that a release
 * knows. Earlier releases reject arrays with more fields; this one ignores those that it does not
 * know.
 */
final class WireLayouts {
  private static final Map<Integer, ObjectMapper> EARLIER = new ConcurrentHashMap<>();
  private static final ObjectMapper CURRENT = newMapper();

  private WireLayouts() {}

  /** Returns the mapper that reads payloads of all releases and writes those of this one. */
  static ObjectMapper current() {
    return CURRENT;
  }

  /** Returns the mapper that writes payloads for VMs that speak {@code release}. */
  static ObjectMapper forRelease(int release) {
    return release >= PeerRelease.CURRENT
        ? CURRENT
        : EARLIER.computeIfAbsent(release, WireLayouts::newEarlierMapper);
  }

  /** Returns whether VMs that speak {@code release} know messages with this payload. */
  static boolean isKnownTo(int release, Class<?> payloadClass) {
    return release >= PeerRelease.CURRENT
        || PeerSchema.get().releaseOfKind(payloadClass) <= release;
  }

  private static ObjectMapper newMapper() {
    ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
    mapper.setAnnotationIntrospector(new JsonArrayFormat());
    // Ignores the fields that a later release has added behind those of this one.
    mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    return mapper;
  }

  private static ObjectMapper newEarlierMapper(int release) {
    return newMapper()
        .registerModule(new SimpleModule().setSerializerModifier(new LaterFieldsFilter(release)));
  }

  /** Leaves out the fields that a release does not know. */
  private static final class LaterFieldsFilter extends BeanSerializerModifier {
    private static final long serialVersionUID = 1L;

    private final int release;

    LaterFieldsFilter(int release) {
      this.release = release;
    }

    @Override
    public List<BeanPropertyWriter> changeProperties(
        SerializationConfig config, BeanDescription type, List<BeanPropertyWriter> fields) {
      return fields.stream()
          .filter(
              field ->
                  PeerSchema.get().releaseOfField(type.getBeanClass(), field.getName()) <= release)
          .toList();
    }
  }
}
